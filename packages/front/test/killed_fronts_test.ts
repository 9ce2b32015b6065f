import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { type CallResult, TestCluster } from "./test_cluster.ts";

const STREAMS = 8;
const RETRY_TIMEOUT_MS = 5_000;
const cluster = new TestCluster();
/** Upstreams by id, with the version of their software. */
const VERSIONS: Record<string, string> = {
  a1: "v1",
  a2: "v1",
  b1: "v2",
  b2: "v2",
};
let breaksStreams = false;
let nextId = 0;

before(async () => {
  cluster.configure([
    { prefix: "/s/", kind: "streaming", isResumable: true, maxRuns: 1 },
  ]);
  await cluster.addTurnStores(3);
  for (const [id, softwareVersion] of Object.entries(VERSIONS)) {
    await cluster.addUpstream(id, (received, res) => {
      const last = Number(received.headers["last-event-id"] ?? 0);
      res.writeHead(200, { "content-type": "text/event-stream" });
      for (let i = last + 1; i <= 4; i++) {
        res.write(`id: ${i}\ndata: ${id}\n\n`);
        if (i < 2 || last > 0 || !breaksStreams) continue;
        setTimeout(() => res.socket?.destroy(), 10);
        return;
      }
      res.end();
    }, { softwareVersion });
  }
  await cluster.addFront();
  await cluster.addFront();
  await cluster.waitUntilReady("/s/w", {
    "x-program": "w",
    "x-budget": "1000",
  });
});

after(() => cluster.close());

/** Ends all fronts at once and starts as many new ones. */
async function killFronts(): Promise<void> {
  breaksStreams = false;
  for (const front of cluster.fronts.splice(0)) front.close();
  cluster.callerAddresses.length = 0;
  await cluster.addFront();
  await cluster.addFront();
  await cluster.waitUntilReady("/s/w", {
    "x-program": "w",
    "x-budget": "1000",
  });
}

/** Begins a stream that breaks off; returns its id and its upstream. */
async function begin(): Promise<{ id: string; upstream: string }> {
  const id = `k${nextId++}`;
  const headers = { "x-id": id, "x-program": `p${id}`, "x-budget": "1000" };
  const result = await cluster.call(`/s/${id}`, { headers });
  expect(result.isComplete).toEqual(false);
  return { id, upstream: String(upstreamsIn(result)[0]) };
}

/** Takes a stream up; `resumes` names the attempt that began it. */
async function takeUp(
  id: string,
  { isNamed }: { isNamed: boolean },
): Promise<CallResult> {
  const end = performance.now() + RETRY_TIMEOUT_MS;
  while (true) {
    const result = await cluster.call(`/s/${id}`, {
      front: 1,
      headers: {
        "x-id": `${id}-${nextId++}`,
        "x-program": `p${id}`,
        "x-budget": "1000",
        "last-event-id": "2",
        ...(isNamed ? { "x-resumes": id } : {}),
      },
    });
    if (result.status === 200 || performance.now() > end) return result;
  }
}

function upstreamsIn(result: CallResult): string[] {
  return [...result.body.matchAll(/data: (\w+)/g)].map((it) => String(it[1]));
}

function versionsIn(result: CallResult): (string | undefined)[] {
  return upstreamsIn(result).map((it) => VERSIONS[it]);
}

describe("a stream that is taken up after all fronts were killed", () => {
  for (const isNamed of [true, false]) {
    // Guards against text that is joined from two software versions (ORDER).
    it(`goes on at its version (${isNamed ? "named" : "unnamed"})`, async () => {
      breaksStreams = true;
      const begun = [];
      for (let i = 0; i < STREAMS; i++) begun.push(await begin());
      await killFronts();
      for (const { id, upstream } of begun) {
        const result = await takeUp(id, { isNamed });
        expect(versionsIn(result)).toEqual([
          VERSIONS[upstream],
          VERSIONS[upstream],
        ]);
      }
    });
  }

  // Guards against the rest of another version when the upstreams of the old
  // one have left meanwhile (ORDER).
  it("is refused if the upstreams of its version have left", async () => {
    breaksStreams = true;
    const begun = [];
    for (let i = 0; i < STREAMS; i++) begun.push(await begin());
    for (const id of ["a1", "a2"]) cluster.store.delete(`upstreams/${id}`);
    await killFronts();
    for (const { id, upstream } of begun) {
      if (VERSIONS[upstream] !== "v1") continue;
      const result = await cluster.call(`/s/${id}`, {
        front: 1,
        headers: {
          "x-id": `${id}-again`,
          "x-program": `p${id}`,
          "x-budget": "1000",
          "last-event-id": "2",
          "x-resumes": id,
        },
      });
      expect(result.status).toEqual(503);
    }
  });
});

import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { type CallResult, TestCluster } from "./test_cluster.ts";

const cluster = new TestCluster();
const EVENTS = ["one", "two", "three", "four"];
const INPUT = "in ";
/** Events that a caller gets before its stream breaks off. */
const EVENTS_BEFORE_BREAK = 2;
let breaksStreams = false;
let nextId = 0;

before(async () => {
  const stream = { kind: "streaming", isResumable: true, maxRuns: 1 } as const;
  cluster.configure([
    { ...stream, prefix: "/kept/", keepsTurns: true },
    { ...stream, prefix: "/stream/" },
  ]);
  await cluster.addTurnStores(3);
  for (const id of ["u1", "u2"]) {
    await cluster.addUpstream(id, (received, res) => {
      const last = Number(received.headers["last-event-id"] ?? 0);
      res.writeHead(200, { "content-type": "text/event-stream" });
      EVENTS.forEach((data, i) => {
        const isCut = breaksStreams && i >= EVENTS_BEFORE_BREAK;
        if (i >= last && !isCut) res.write(`id: ${i + 1}\ndata: ${data}\n\n`);
      });
      if (!breaksStreams) return res.end();
      setTimeout(() => res.socket?.destroy(), 10);
    });
  }
  await cluster.addFront();
  await cluster.addFront();
  await cluster.waitUntilReady("/kept/w", { "x-program": "w" });
});

after(() => cluster.close());

async function run(
  path: string,
  headers: Record<string, string>,
): Promise<{ id: string; result: CallResult }> {
  const id = `k${nextId++}`;
  const result = await cluster.call(path, {
    front: nextId % 2,
    headers: { "x-id": id, ...headers },
    body: INPUT,
  });
  return { id, result };
}

/** Begins a stream that breaks off, and takes it up; returns the rest. */
async function breakAndTakeUp(path: string) {
  breaksStreams = true;
  const begun = await run(path, {});
  expect(begun.result.isComplete).toEqual(false);
  breaksStreams = false;
  const headers = {
    "last-event-id": String(EVENTS_BEFORE_BREAK),
    "x-resumes": begun.id,
  };
  return await run(path, headers);
}

describe("a stream that a caller takes up", () => {
  it("goes on after the last event if it is not kept", async () => {
    const { result } = await breakAndTakeUp("/stream/x");
    expect(result.body).toEqual("id: 3\ndata: three\n\nid: 4\ndata: four\n\n");
  });

  // Guards against a next turn that runs on a part of this one (UNASKED).
  it("is refused if it is kept, and begun anew is kept whole", async () => {
    const rest = await breakAndTakeUp("/kept/x");
    expect(rest.result.status).toEqual(503);
    const missing = await run("/kept/x", { "x-previous": rest.id });
    expect(missing.result.status).toEqual(404);
    const whole = await run("/kept/x", {});
    expect(whole.result.status).toEqual(200);
    cluster.received.length = 0;
    const next = await run("/kept/x", { "x-previous": whole.id });
    expect(next.result.status).toEqual(200);
    expect(cluster.received.map((it) => it.body))
      .toEqual([`${INPUT}one\ntwo\nthree\nfour\n${INPUT}`]);
  });
});

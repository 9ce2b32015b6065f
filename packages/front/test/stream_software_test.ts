import { expect } from "earl";
import type { ServerResponse } from "node:http";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import {
  type CallResult,
  type ReceivedRequest,
  respondWithEvents,
  TestCluster,
} from "./test_cluster.ts";

const cluster = new TestCluster();
const STREAMS = 12;

/** Upstreams that break off the streams that they begin. */
let interrupting: Set<string>;
/** Upstreams that decline all requests. */
let declining: Set<string>;
let nextId = 0;

before(async () => {
  const s = [{ service: "s", weight: 1 }];
  const t = [{ service: "t", weight: 1 }];
  const route = { kind: "streaming", isResumable: true } as const;
  cluster.configure([
    { ...route, prefix: "/twice/", maxRuns: 2, services: s },
    { ...route, prefix: "/once/", maxRuns: 1, services: s },
    { ...route, prefix: "/other/", maxRuns: 1, services: t },
    {
      ...route,
      prefix: "/own/",
      maxRuns: 1,
      services: [{ service: "u", weight: 1 }],
    },
    { kind: "streaming", prefix: "/warm/", services: s },
  ]);
  await cluster.addTurnStores(3);
  for (const [id, service, softwareVersion] of UPSTREAMS) {
    await cluster.addUpstream(id, (received, res) => serve(id, received, res), {
      service,
      softwareVersion,
    });
  }
  await cluster.addFront();
  await cluster.addFront();
  interrupting = new Set();
  declining = new Set();
  await cluster.waitUntilReady("/warm/x", headersOf("w"));
});

after(() => cluster.close());

afterEach((t) => cluster.printLogIfFailed(t));

beforeEach(() => {
  interrupting = new Set();
  declining = new Set();
  cluster.received.length = 0;
});

const UPSTREAMS: [string, string, string | undefined][] = [
  ["a1", "s", "v1"],
  ["a2", "s", "v1"],
  ["b1", "s", "v2"],
  ["b2", "s", "v2"],
  ["c1", "t", "v1"],
  ["d1", "u", undefined],
  ["d2", "u", undefined],
];

function versionOf(id: unknown): string | undefined {
  return UPSTREAMS.find((it) => it[0] === id)?.[2];
}

/** Sends events 1 to 4, or those after the last one that the caller has. */
function serve(id: string, received: ReceivedRequest, res: ServerResponse) {
  if (received.path.startsWith("/warm/")) {
    return respondWithEvents("w")(received, res);
  }
  if (declining.has(id)) {
    res.writeHead(503, { "x-not-run": "1" });
    return res.end();
  }
  const last = Number(received.headers["last-event-id"] ?? 0);
  res.writeHead(200, { "content-type": "text/event-stream" });
  for (let i = last + 1; i <= 4; i++) {
    res.write(`id: ${i}\ndata: ${id}\n\n`);
    if (i < 2 || last > 0 || !interrupting.has(id)) continue;
    setTimeout(() => res.socket?.destroy(), 10);
    return;
  }
  res.end();
}

function headersOf(id: string): Record<string, string> {
  return {
    "x-id": id,
    "x-program": `p-${id}`,
    "x-budget": "1000",
    "x-prompt-tokens": "10",
    "x-max-output": "5",
  };
}

/** Begins a stream that its upstream breaks off after two events. */
async function beginStream(
  path: string,
  headers: Record<string, string>,
): Promise<string> {
  interrupting = new Set(UPSTREAMS.map((it) => it[0]));
  const result = await cluster.call(pathOf(path, headers), { headers });
  interrupting = new Set();
  expect([result.isComplete, upstreamsIn(result).length]).toEqual([false, 2]);
  return String(upstreamsIn(result)[0]);
}

/** Takes a stream up at the other front, as a new attempt of its caller. */
function resumeStream(
  path: string,
  begun: Record<string, string>,
): Promise<CallResult> {
  const headers = {
    ...begun,
    "x-id": `${begun["x-id"]}-again`,
    "x-resumes": String(begun["x-id"]),
    "last-event-id": "2",
  };
  return cluster.call(pathOf(path, begun), { headers, front: 1 });
}

/** Takes a stream up without naming the attempt that began it. */
function resumeUnnamed(begun: Record<string, string>): Promise<CallResult> {
  const headers = {
    ...begun,
    "x-id": `${begun["x-id"]}-again`,
    "last-event-id": "2",
  };
  return cluster.call(pathOf("/once/", begun), { headers, front: 1 });
}

/** A path for each stream: many that break off alike would be quarantined. */
function pathOf(prefix: string, begun: Record<string, string>): string {
  return prefix + begun["x-id"];
}

/** Ids of the upstreams that wrote the events of a response. */
function upstreamsIn(result: CallResult): string[] {
  return [...result.body.matchAll(/data: (\w+)/g)].map((it) => String(it[1]));
}

/** Begins and resumes streams; returns how many went on at which versions. */
async function beginAndResume(
  beforeResume: (upstream: string) => void | Promise<void> = () => {},
): Promise<{ mixed: number; wentOn: number }> {
  let mixed = 0;
  let wentOn = 0;
  for (let i = 0; i < STREAMS; i++) {
    const headers = headersOf(`q${nextId++}`);
    const upstream = await beginStream("/once/", headers);
    await beforeResume(upstream);
    const result = await resumeStream("/once/", headers);
    if (result.status === 200 && result.isComplete) wentOn += 1;
    const versions = upstreamsIn(result).map((it) => versionOf(it));
    if (versions.some((it) => it !== versionOf(upstream))) mixed += 1;
  }
  return { mixed, wentOn };
}

describe("a stream that its caller takes up at another front", () => {
  // Guards against a stream with events of two software versions (ORDER).
  it("goes on at the software version that began it", async () => {
    expect(await beginAndResume()).toEqual({ mixed: 0, wentOn: STREAMS });
  });

  // Guards against a beginning that a loss of power makes unknown (ORDER).
  it("goes on there after all turn stores have restarted", async () => {
    const headers = headersOf(`q${nextId++}`);
    const upstream = await beginStream("/once/", headers);
    await cluster.restartTurnStores();
    const result = await resumeUntilServed("/once/", headers);
    const versions = upstreamsIn(result).map((it) => versionOf(it));
    expect(versions).toEqual([versionOf(upstream), versionOf(upstream)]);
  });

  // Guards against a stream with events of two software versions (ORDER).
  it("is refused, to come back, when that version has no place", async () => {
    const headers = headersOf(`q${nextId++}`);
    const upstream = await beginStream("/once/", headers);
    for (const [id, , version] of UPSTREAMS) {
      if (version === versionOf(upstream)) declining.add(id);
    }
    const result = await resumeStream("/once/", headers);
    expect(result.status).toEqual(503);
    expect(Number(result.headers["retry-after"]) > 0).toEqual(true);
  });

  // Guards against a beginning that is guessed (ORDER).
  it("is refused when its beginning is not known", async () => {
    const result = await resumeStream("/once/", headersOf("never-begun"));
    expect(result.status).toEqual(503);
    expect(cluster.received).toEqual([]);
  });

  // Guards against a beginning that is guessed (ORDER).
  it("is refused when its caller does not name its beginning", async () => {
    const headers = { ...headersOf(`q${nextId++}`), "last-event-id": "2" };
    const result = await cluster.call("/once/none", { headers });
    expect(result.status).toEqual(503);
    expect(cluster.received).toEqual([]);
  });

  // Guards against a refusal of what could go on (LOST).
  it("goes on unnamed if its program has begun all streams at one version", async () => {
    for (let i = 0; i < STREAMS; i++) {
      const headers = headersOf(`q${nextId++}`);
      const upstream = await beginStream("/once/", headers);
      const result = await resumeUnnamed(headers);
      const versions = upstreamsIn(result).map((it) => versionOf(it));
      expect(versions).toEqual([versionOf(upstream), versionOf(upstream)]);
    }
  });

  // Guards against a beginning that is guessed (ORDER).
  it("is refused unnamed if its program has begun streams at two versions", async () => {
    const first = headersOf(`q${nextId++}`);
    for (const declined of [["a1", "a2"], ["b1", "b2"]]) {
      declining = new Set(declined);
      await beginStream("/once/", { ...first, "x-id": `q${nextId++}` });
    }
    declining = new Set();
    const result = await resumeUnnamed(first);
    expect(result.status).toEqual(503);
  });

  // Guards against equal version names of different services (ORDER).
  it("does not go on at another service with the same version name", async () => {
    const headers = headersOf(`q${nextId++}`);
    declining = new Set(["b1", "b2"]);
    await beginStream("/once/", headers);
    const result = await resumeStream("/other/", headers);
    expect(result.status).toEqual(503);
  });

  // Guards against a version that is guessed from an unreadable entry (ORDER).
  it("goes on only at the same upstream if its version is not known", async () => {
    for (let i = 0; i < STREAMS; i++) {
      const headers = headersOf(`q${nextId++}`);
      const upstream = await beginStream("/own/", headers);
      const result = await resumeStream("/own/", headers);
      expect(upstreamsIn(result)).toEqual([upstream, upstream]);
    }
  });

  // Guards against streams outside a program, which reserve no tokens (ORDER).
  it("goes on at its version outside a program as well", async () => {
    for (let i = 0; i < STREAMS; i++) {
      const headers = { "x-id": `q${nextId++}` };
      const upstream = await beginStream("/once/", headers);
      const result = await resumeStream("/once/", headers);
      const versions = upstreamsIn(result).map((it) => versionOf(it));
      expect(versions).toEqual([versionOf(upstream), versionOf(upstream)]);
    }
  });
});

describe("a stream that is begun where the first choice declines", () => {
  // Guards against a record that names the upstream that declined (ORDER).
  it("goes on at the version that wrote its first event", async () => {
    for (const version of ["v1", "v2"]) {
      declining = new Set(
        UPSTREAMS.filter((it) => it[2] === version).map((it) => it[0]),
      );
      const headers = headersOf(`q${nextId++}`);
      const upstream = await beginStream("/once/", headers);
      declining = new Set();
      const result = await resumeStream("/once/", headers);
      expect(versionOf(upstream)).not.toEqual(version);
      const versions = upstreamsIn(result).map((it) => versionOf(it));
      expect(versions).toEqual([versionOf(upstream), versionOf(upstream)]);
    }
  });
});

describe("a stream that a front resumes itself", () => {
  // Guards against a stream with events of two software versions (ORDER).
  it("goes on at the software version that began it", async () => {
    let complete = 0;
    for (let i = 0; i < STREAMS; i++) {
      interrupting = new Set(UPSTREAMS.map((it) => it[0]));
      const headers = headersOf(`q${nextId++}`);
      const result = await cluster.call(`/twice/${i}`, { headers });
      const versions = upstreamsIn(result).map((it) => versionOf(it));
      expect(new Set(versions).size).toEqual(1);
      if (result.isComplete) complete += 1;
    }
    expect(complete).toEqual(STREAMS);
  });
});

/** Resumes until the turn stores are back and the request is not refused. */
async function resumeUntilServed(
  path: string,
  begun: Record<string, string>,
): Promise<CallResult> {
  const deadline = performance.now() + 5_000;
  while (true) {
    const result = await resumeStream(path, begun);
    if (result.status === 200 || performance.now() > deadline) return result;
  }
}

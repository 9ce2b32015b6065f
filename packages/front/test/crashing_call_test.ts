import { expect } from "earl";
import { after, before, beforeEach, describe, it } from "node:test";
import { type RawResponse, TestCluster, writeRaw } from "./test_cluster.ts";

const cluster = new TestCluster();
const UPSTREAM_IDS = ["u1", "u2", "u3", "u4", "u5"];
/** Upstreams for streams; each case crashes three of them. */
const STREAM_UPSTREAM_IDS = ["e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"];
const TURN_HEADERS = { "x-prompt-tokens": "10", "x-max-output": "5" };
const INTERRUPTED_STREAM: RawResponse = {
  delimiter: "close",
  body: "id: 1\nda",
  isCut: true,
  ending: "close",
};
/** Calls after which each upstream was chosen at least once. */
const MAX_CALLS = 50;
let response = INTERRUPTED_STREAM;

before(async () => {
  cluster.configure([
    { prefix: "/plain/" },
    { prefix: "/again/", kind: "idempotent", maxRuns: 2 },
    {
      prefix: "/events/",
      kind: "streaming",
      maxRuns: 1,
      services: [{ service: "e", weight: 1 }],
    },
  ]);
  await cluster.addTurnStores(3);
  for (const id of UPSTREAM_IDS) {
    await cluster.addUpstream(id, (received, res) => {
      if (received.path.startsWith("/plain/")) res.end("fine");
      else cluster.crashUpstream(id);
    });
  }
  for (const id of STREAM_UPSTREAM_IDS) {
    await cluster.addUpstream(id, (_received, res) => {
      res.req.socket.once("close", () => cluster.crashUpstream(id));
      writeRaw(res, response);
    }, { service: "e" });
  }
  await cluster.addFront();
  await cluster.waitUntilReady("/plain/x");
});

after(() => cluster.close());

beforeEach(() => {
  cluster.received.length = 0;
});

// Guards against overlooking a crash when only the end of the connection marks
// the end of a stream.
describe("a stream that is interrupted by the crash of each upstream", () => {
  for (const delimiter of ["chunked", "close"] as const) {
    it(`is refused once it was interrupted on three (${delimiter})`, async () => {
      response = { ...INTERRUPTED_STREAM, delimiter };
      const path = `/events/${delimiter}`;
      for (let i = 0; i < MAX_CALLS && upstreamsReached().size < 3; i++) {
        await cluster.call(path, {
          headers: { ...TURN_HEADERS, "x-id": `${delimiter}${i}` },
        });
      }
      const result = await cluster.call(path, {
        headers: { ...TURN_HEADERS, "x-id": `${delimiter}last` },
      });
      expect(result.status).toEqual(503);
      expect(upstreamsReached().size).toEqual(3);
    });
  }
});

/** Upstreams that received a request in this test. */
function upstreamsReached(): Set<unknown> {
  return new Set(cluster.received.map((it) => it.headers["x-upstream"]));
}

describe("a call that crashes every upstream that runs it", () => {
  it("is retried on a limited number of upstreams", async () => {
    const result = await cluster.call("/again/", { headers: { "x-id": "c1" } });
    expect(result.status).toEqual(502);
    expect(cluster.received.length).toEqual(3);
  });
});

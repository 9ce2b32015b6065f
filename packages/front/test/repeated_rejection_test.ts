import { expect } from "earl";
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { after, before, beforeEach, describe, it } from "node:test";
import { PathFault } from "./path_fault.ts";
import { type ReceivedRequest, TestCluster } from "./test_cluster.ts";

const cluster = new TestCluster();
const WORK_MS = 30;
/** Longer than a front takes to notice that it reaches no upstream. */
const CUT_DETECTION_MS = 3_000;
/** Writes unexpected bytes before the response to a request. */
let writeBefore: ((socket: Socket, id: string) => void) | undefined;
/** Upstreams that still decline the first request they get. */
let declining = new Set<string>();
/** Ids of the requests that were declined on a connection. */
const rejectedOn = new WeakMap<Socket, string[]>();
let nextId = 0;

function rejection(id: string | undefined): string {
  const header = id === undefined ? "" : `x-id: ${id}\r\n`;
  return `HTTP/1.1 503 Full\r\n${header}x-not-run: 1\r\ncontent-length: 0\r\n\r\n`;
}

function success(id: string | undefined): string {
  const header = id === undefined ? "" : `x-id: ${id}\r\n`;
  return `HTTP/1.1 200 OK\r\n${header}x-mark: u\r\ncontent-length: 5\r\n\r\nother`;
}

function serve(
  upstream: string,
  { id }: ReceivedRequest,
  res: ServerResponse,
): void {
  const { socket } = res.req;
  if (declining.delete(upstream)) {
    rejectedOn.set(socket, [...rejectedOn.get(socket) ?? [], id]);
    res.writeHead(503, { "x-not-run": "1" });
    res.end();
    return;
  }
  writeBefore?.(socket, id);
  setTimeout(() => res.end(`did ${id}`), WORK_MS);
}

before(async () => {
  cluster.configure([
    { prefix: "/once/", kind: "non_idempotent", maxRuns: 1 },
  ]);
  for (const id of ["u1", "u2"]) {
    await cluster.addUpstream(id, (received, res) => serve(id, received, res));
  }
  const fault = new PathFault();
  await cluster.addFront();
  await cluster.addFront({ dial: fault.dial });
  await cluster.waitUntilReady("/once/");
  fault.cut("hang");
  const end = performance.now() + CUT_DETECTION_MS;
  while (performance.now() < end) {
    cluster.call("/once/", { front: 1, headers: { "x-id": `w${nextId++}` } })
      .catch(() => {});
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
});

after(() => cluster.close());

beforeEach(() => {
  writeBefore = undefined;
  declining = new Set();
  cluster.received.length = 0;
});

const EXTRA: Record<string, string> = {
  "a rejection without an id": rejection(undefined),
  "a rejection of an earlier request": rejection("earlier"),
  "a rejection with an empty id": rejection(""),
  "a success without an id": success(undefined),
  "a success of an earlier request": success("earlier"),
};

for (const [way, front] of Object.entries({ direct: 0, sibling: 1 })) {
  describe(`a kept connection that brings an earlier response (${way})`, () => {
    for (const [name, bytes] of Object.entries(EXTRA)) {
      // Guards against a call that runs twice or is refused though it runs
      // (TWICE, REFUSED), and against an answer to no request (MIXED).
      it(`takes it for no response: ${name}`, async () => {
        writeBefore = (socket) => socket.write(bytes);
        const id = `e${nextId++}`;
        const headers = { "x-id": id };
        const result = await cluster.call("/once/", { front, headers });
        expect([result.status, result.body]).toEqual([200, `did ${id}`]);
        expect(cluster.received.length).toEqual(1);
      });
    }

    // Guards against an earlier rejection of a request that is sent again, with
    // its id, on the same connection (TWICE, REFUSED).
    it("does not carry a request again that it has rejected", async () => {
      declining = new Set(["u1", "u2"]);
      const id = `e${nextId++}`;
      const headers = { "x-id": id };
      const first = await cluster.call("/once/", { front, headers });
      expect(first.status).toEqual(503);
      declining.clear();
      cluster.received.length = 0;
      writeBefore = (socket) => {
        if (rejectedOn.get(socket)?.includes(id)) socket.write(rejection(id));
      };
      const second = await cluster.call("/once/", { front, headers });
      expect([second.status, second.body]).toEqual([200, `did ${id}`]);
      expect(cluster.received.length).toEqual(1);
    });
  });
}

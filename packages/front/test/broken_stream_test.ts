import { expect } from "earl";
import type { ServerResponse } from "node:http";
import { after, before, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { PathFault } from "./path_fault.ts";
import { type ReceivedRequest, TestCluster } from "./test_cluster.ts";

const cluster = new TestCluster();
const CUT_DETECTION_MS = 3_000;
const BEGINNING = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const REST = "id: 3\ndata: c\n\n";
const ENDS_WITH_CONNECTION = "a head within a stream without a length";
/** How the next upstream answers; undefined for the rest of the stream. */
let nextAnswer: ((received: ReceivedRequest) => string) | undefined;
let streams = 0;
let nextId = 0;

function headOf(
  { id }: ReceivedRequest,
  { status = "200 OK", headers = [] as string[], hasMark = true } = {},
): string {
  const lines = [`x-id: ${id}`, ...(hasMark ? ["x-mark: u"] : []), ...headers];
  return `HTTP/1.1 ${status}\r\n${lines.join("\r\n")}\r\n\r\n`;
}

function failing(
  status: string,
  body: string,
  opts: { headers?: string[]; hasMark?: boolean } = {},
): (received: ReceivedRequest) => string {
  const length = `content-length: ${body.length}`;
  return (received) =>
    headOf(received, {
      status,
      headers: [length, ...(opts.headers ?? [])],
      hasMark: opts.hasMark ?? true,
    }) + body;
}

const ANSWERS: Record<string, (received: ReceivedRequest) => string> = {
  "an error with a length": failing("500 Error", "oops"),
  "an error in chunks": (it) =>
    headOf(it, {
      status: "500 Error",
      headers: ["transfer-encoding: chunked"],
    }) + "4\r\noops\r\n0\r\n\r\n",
  "an error in the form of an event": failing(
    "500 Error",
    "id: 9\ndata: oops\n\n",
  ),
  "an error without a body": failing("502 Error", ""),
  "a client error": failing("404 Error", "oops"),
  "a rejection": failing("503 Full", "oops", { headers: ["x-not-run: 1"] }),
  "a rejection without a proof": failing("503 Full", "oops"),
  "a success without a body": (it) => headOf(it, { status: "204 None" }),
  "a success without the mark": failing("200 OK", REST, { hasMark: false }),
  "a success that holds no event": failing("200 OK", "oops"),
  "a success with an event without an id": failing("200 OK", "data: oops\n\n"),
  "a success with an earlier event": failing("200 OK", "id: 1\ndata: oops\n\n"),
  "bytes that are no response": () => "oops\r\n\r\n",
  [ENDS_WITH_CONNECTION]: (it) =>
    `${headOf(it)}${failing("500 Error", "oops")(it)}`,
};

/** Writes the beginning of a stream and breaks it off, then what is set. */
function serve(received: ReceivedRequest, res: ServerResponse): void {
  const { socket } = res.req;
  streams += 1;
  if (streams === 1) {
    const head = headOf(received, { headers: ["transfer-encoding: chunked"] });
    const size = BEGINNING.length.toString(16);
    socket.write(`${head}${size}\r\n${BEGINNING}\r\n`);
    setTimeout(() => socket.destroy(), 10);
    return;
  }
  const answer = nextAnswer?.(received) ?? failing("200 OK", REST)(received);
  socket.write(answer);
  const endsNow = nextAnswer === ANSWERS[ENDS_WITH_CONNECTION];
  if (endsNow) setTimeout(() => socket.end(), 10);
}

before(async () => {
  const route = { kind: "streaming", maxRuns: 3 } as const;
  cluster.configure([
    { ...route, prefix: "/events/" },
    { ...route, prefix: "/again/", isResumable: true },
    { prefix: "/warm/" },
  ]);
  await cluster.addTurnStores(3);
  for (const id of ["u1", "u2", "u3"]) {
    await cluster.addUpstream(id, (received, res) => {
      if (received.path.startsWith("/warm/")) res.end("warm");
      else serve(received, res);
    });
  }
  const fault = new PathFault();
  await cluster.addFront();
  await cluster.addFront({ dial: fault.dial });
  await cluster.waitUntilReady("/warm/");
  await delay(2_000);
  fault.cut("hang");
  const end = performance.now() + CUT_DETECTION_MS;
  while (performance.now() < end) {
    cluster.call("/warm/", { front: 1, headers: { "x-id": `w${nextId++}` } })
      .catch(() => {});
    await delay(100);
  }
});

after(() => cluster.close());

beforeEach(() => {
  streams = 0;
  nextAnswer = undefined;
});

for (const [way, front] of Object.entries({ direct: 0, sibling: 1 })) {
  describe(`a stream that breaks off (${way})`, () => {
    it("goes on at the next upstream if it may be resumed", async () => {
      const path = `/again/${nextId}`;
      const headers = { "x-id": `b${nextId++}` };
      const result = await cluster.call(path, { front, headers });
      expect([result.body, result.isComplete]).toEqual([
        BEGINNING + REST,
        true,
      ]);
    });

    for (const prefix of ["/events/", "/again/"]) {
      for (const [name, answer] of Object.entries(ANSWERS)) {
        // Guards against an error of the next upstream within a stream, or as
        // its end (ORDER, MIXED).
        it(`holds no other bytes and is incomplete: ${prefix}, ${name}`, async () => {
          nextAnswer = answer;
          const path = prefix + nextId;
          const headers = { "x-id": `b${nextId++}` };
          const result = await cluster.call(path, { front, headers });
          expect([result.status, result.body]).toEqual([200, BEGINNING]);
          expect(result.isComplete).toEqual(false);
        });
      }
    }
  });
}

import { expect } from "earl";
import { connect } from "node:net";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import {
  type CallResult,
  type RawResponse,
  type ReceivedRequest,
  TestCluster,
  writeRaw,
} from "./test_cluster.ts";

const cluster = new TestCluster();
const TURN_HEADERS = {
  "x-program": "p",
  "x-budget": "100000",
  "x-prompt-tokens": "10",
  "x-max-output": "5",
};
const EVENTS = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
const STREAM = EVENTS.join("");
const PLAIN_BODY = "0123456789".repeat(4);
const PLAIN_PATHS = ["/plain/", "/once/"];
const STREAM_PATHS = ["/events/", "/again/", "/kept/"];
let respond: (received: ReceivedRequest) => RawResponse;

before(async () => {
  cluster.configure([
    { prefix: "/plain/" },
    { prefix: "/once/", kind: "non_idempotent", maxRuns: 1 },
    { prefix: "/events/", kind: "streaming", maxRuns: 1 },
    { prefix: "/again/", kind: "streaming", isResumable: true, maxRuns: 2 },
    { prefix: "/kept/", kind: "streaming", keepsTurns: true, maxRuns: 1 },
  ]);
  await cluster.addTurnStores(3);
  for (const id of ["u1", "u2"]) {
    await cluster.addUpstream(
      id,
      (received, res) => writeRaw(res, respond(received)),
    );
  }
  await cluster.addFront();
  respond = () => ({
    delimiter: "length",
    body: STREAM,
    isCut: false,
    ending: "close",
  });
  await cluster.waitUntilReady("/kept/", TURN_HEADERS);
});

after(() => cluster.close());

afterEach((t) => cluster.printLogIfFailed(t));

beforeEach(() => {
  cluster.received.length = 0;
});

let nextId = 0;

function call(path: string): Promise<CallResult> {
  nextId += 1;
  return cluster.call(path, {
    headers: { ...TURN_HEADERS, "x-id": `i${nextId}` },
  });
}

/** Makes a call; returns the body if the response looks complete. */
async function completeBody(path: string): Promise<string | undefined> {
  const result = await call(path);
  return result.status === 200 && result.isComplete ? result.body : undefined;
}

/** Makes a call over HTTP/1.0; returns how its connection ends. */
function endingOfHttp10Call(path: string): Promise<RawResponse["ending"]> {
  const { hostname, port } = new URL(`http://${cluster.callerAddresses[0]}`);
  nextId += 1;
  const headers = { ...TURN_HEADERS, "x-id": `i${nextId}`, host: "x.example" };
  const lines = Object.entries(headers).map(([name, value]) =>
    `${name}: ${value}\r\n`
  );
  return new Promise((resolve) => {
    const socket = connect(Number(port), hostname);
    socket.resume();
    socket.on("end", () => resolve("close"));
    socket.on("error", () => resolve("reset"));
    socket.write(`GET ${path} HTTP/1.0\r\n${lines.join("")}\r\n`);
  });
}

/** Responses that end after `bytes` bytes of a body. */
function responsesCutAt(body: string, bytes: number): RawResponse[] {
  const cut = { body: body.slice(0, bytes), isCut: true };
  return [
    { ...cut, delimiter: "length", ending: "close" },
    { ...cut, delimiter: "length", ending: "reset" },
    { ...cut, delimiter: "chunked", ending: "close" },
    { ...cut, delimiter: "chunked", ending: "reset" },
    { ...cut, delimiter: "close", ending: "reset" },
  ];
}

// Guards against returning an interrupted stream as complete when only the end
// of the connection marks the end of its body.
describe("a stream whose connection ends instead of a length or chunks", () => {
  for (const path of STREAM_PATHS) {
    it(`is complete after a whole event (${path})`, async () => {
      respond = () => ({
        delimiter: "close",
        body: STREAM,
        isCut: false,
        ending: "close",
      });
      expect(await completeBody(path)).toEqual(STREAM);
    });

    it(`is not complete before its first event (${path})`, async () => {
      respond = () => ({
        delimiter: "close",
        body: "",
        isCut: true,
        ending: "close",
      });
      expect(await completeBody(path)).toEqual(undefined);
    });

    it(`is not complete inside any event (${path})`, async () => {
      const boundaries = new Set([0, EVENTS[0]!.length, STREAM.length]);
      for (let bytes = 1; bytes < STREAM.length; bytes++) {
        if (boundaries.has(bytes)) continue;
        respond = () => ({
          delimiter: "close",
          body: STREAM.slice(0, bytes),
          isCut: true,
          ending: "close",
        });
        expect(await completeBody(path)).toEqual(undefined);
      }
    });
  }

  it("is not complete when it resumes without an event", async () => {
    respond = ({ headers }) => ({
      delimiter: "close",
      body: headers["last-event-id"] === undefined ? `${EVENTS[0]}id: 2` : "",
      isCut: true,
      ending: "close",
    });
    expect(await completeBody("/again/")).toEqual(undefined);
    expect(cluster.received.map((it) => it.headers["last-event-id"]))
      .toEqual([undefined, "1"]);
  });
});

describe("an interrupted response", () => {
  for (const path of [...PLAIN_PATHS, ...STREAM_PATHS]) {
    it(`is not complete, however its end is marked (${path})`, async () => {
      const body = STREAM_PATHS.includes(path) ? STREAM : PLAIN_BODY;
      const cutPoints = [0, 5, EVENTS[0]!.length, body.length];
      for (const bytes of cutPoints) {
        for (const response of responsesCutAt(body, bytes)) {
          respond = () => response;
          expect(await completeBody(path)).toEqual(undefined);
        }
      }
    });
  }

  it("of a stream is ended by a reset towards a caller of HTTP/1.0", async () => {
    respond = () => ({
      delimiter: "chunked",
      body: `${EVENTS[0]}id: 2`,
      isCut: true,
      ending: "close",
    });
    expect(await endingOfHttp10Call("/events/")).toEqual("reset");
    respond = () => ({
      delimiter: "chunked",
      body: STREAM,
      isCut: false,
      ending: "close",
    });
    expect(await endingOfHttp10Call("/events/")).toEqual("close");
  });

  it("with a large plain body that was forwarded in part is not complete", async () => {
    const body = "x".repeat(400_000);
    for (const response of responsesCutAt(body, 300_000)) {
      respond = () => response;
      expect(await completeBody("/once/")).toEqual(undefined);
    }
  });
});

// Guards against claiming that a response is complete when the upstream did not.
describe("a response without a length or chunks", () => {
  for (const path of PLAIN_PATHS) {
    it(`is returned without a length or chunks (${path})`, async () => {
      respond = () => ({
        delimiter: "close",
        body: PLAIN_BODY,
        isCut: false,
        ending: "close",
      });
      const { headers, body } = await call(path);
      expect(body).toEqual(PLAIN_BODY);
      expect(headers["content-length"]).toEqual(undefined);
      expect(headers["transfer-encoding"]).toEqual(undefined);
      expect(headers.connection).toEqual("close");
    });
  }

  for (const path of STREAM_PATHS) {
    it(`is returned with chunks if it is a stream (${path})`, async () => {
      respond = () => ({
        delimiter: "close",
        body: STREAM,
        isCut: false,
        ending: "close",
      });
      const { headers, body, isComplete } = await call(path);
      expect([body, isComplete]).toEqual([STREAM, true]);
      expect(headers["transfer-encoding"]).toEqual("chunked");
    });
  }

  it("is returned in part with a reset when its connection is reset", async () => {
    const body = "x".repeat(300_000);
    respond = () => ({
      delimiter: "close",
      body,
      isCut: true,
      ending: "reset",
    });
    const result = await call("/once/");
    expect([result.status, result.isComplete]).toEqual([200, false]);
  });
});

describe("a plain response without a length", () => {
  for (const path of PLAIN_PATHS) {
    it(`is complete when its connection is closed (${path})`, async () => {
      respond = () => ({
        delimiter: "close",
        body: PLAIN_BODY,
        isCut: false,
        ending: "close",
      });
      expect(await completeBody(path)).toEqual(PLAIN_BODY);
    });
  }
});

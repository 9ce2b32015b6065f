import { expect } from "earl";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { type CompletionCall, EngineClient } from "../src/mod.ts";
import { StreamParser } from "../src/stream_parser.ts";

/** Above the largest response, for kernel buffers as well. */
const MAX_SENT_BYTES = 32_000_000;
const RESET_DELAY_MS = 20;
const DELIMITERS = ["length", "chunked", "close"] as const;
const ENDINGS = ["close", "reset"] as const;
const TEXT_EVENT =
  'data: {"choices":[{"index":0,"delta":{"content":"hi"},"finish_reason":null}]}\n\n';
const LAST_EVENTS =
  'data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}\n\ndata: [DONE]\n\n';
const WHOLE_STREAM = TEXT_EVENT + LAST_EVENTS;
const closers: (() => void)[] = [];

afterEach(() => {
  for (const close of closers.splice(0)) close();
});

interface EngineResponse {
  status?: number;
  /** Further header lines, each with its line end. */
  headers?: string;
  delimiter: typeof DELIMITERS[number];
  body: string;
  /** Size of the whole body, if only a part of it is sent. */
  wholeBytes?: number;
  ending: typeof ENDINGS[number];
}

/** Returns the bytes of a response. */
function responseBytes(response: EngineResponse): string {
  const { status = 200, delimiter, body } = response;
  const wholeBytes = response.wholeBytes ?? body.length;
  const chunk = `${body.length.toString(16)}\r\n${body}\r\n`;
  const lastChunk = wholeBytes === body.length ? "0\r\n\r\n" : "";
  const framed = {
    length: `content-length: ${wholeBytes}\r\n\r\n${body}`,
    chunked: `transfer-encoding: chunked\r\n\r\n${chunk}${lastChunk}`,
    close: `\r\n${body}`,
  };
  const { headers = "" } = response;
  return `HTTP/1.1 ${status} x\r\n${headers}${framed[delimiter]}`;
}

/** Writes a response and ends its connection. */
function respond(socket: Socket, response: EngineResponse): void {
  socket.write(responseBytes(response));
  if (response.ending === "close") socket.end();
  else setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
}

function startEngine(response: EngineResponse): Promise<EngineClient> {
  return listen((socket) => respond(socket, response));
}

/** Starts an engine that handles each request's connection as given. */
async function listen(
  onRequest: (socket: Socket) => void,
): Promise<EngineClient> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => socket.destroy());
    socket.on("data", () => onRequest(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const client = new EngineClient({
    name: "e1",
    address: `127.0.0.1:${port}`,
  });
  closers.push(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
    client.close();
  });
  return client;
}

/** Returns the finish reason of a completion, or the verdict of its error. */
function complete(client: EngineClient): Promise<string> {
  return completeOrFail(client).then(
    (result) => result.finishReason,
    (err) => (err as { verdict: string }).verdict,
  );
}

function completeOrFail(client: EngineClient) {
  const call: CompletionCall = {
    requestId: "q1",
    program: "p1",
    step: 1,
    model: "small",
    messages: [],
    maxTokens: 5,
    priority: 0,
    continueFrom: 0,
    extra: {},
  };
  const signal = AbortSignal.timeout(2_000);
  return client.complete(call, { signal, onDelta() {} });
}

// Guards against taking an interrupted stream for a complete one.
describe("a streamed completion", () => {
  for (const delimiter of DELIMITERS) {
    for (const ending of ENDINGS) {
      it(`is not complete before its last event (${delimiter}, ${ending})`, async () => {
        const lastEventAt = WHOLE_STREAM.indexOf("data: [DONE]");
        for (const bytes of [0, 5, TEXT_EVENT.length, lastEventAt]) {
          const client = await startEngine({
            delimiter,
            ending,
            body: WHOLE_STREAM.slice(0, bytes),
            wholeBytes: WHOLE_STREAM.length,
          });
          expect(await complete(client)).toEqual("may_have_run");
        }
      });
    }

    it(`is complete after its last event (${delimiter})`, async () => {
      const client = await startEngine({
        delimiter,
        body: WHOLE_STREAM,
        ending: "close",
      });
      expect(await complete(client)).toEqual("stop");
    });
  }

  for (const delimiter of DELIMITERS) {
    // Guards against a cut response that looks whole because its connection is
    // not kept (MIXED).
    it(`is not complete if it is cut at any byte (${delimiter})`, async () => {
      const bytes = responseBytes({
        headers: "connection: close\r\n",
        delimiter,
        body: WHOLE_STREAM,
        ending: "close",
      });
      let cut = 0;
      const client = await listen((socket) => socket.end(bytes.slice(0, cut)));
      for (; cut < bytes.length; cut++) {
        expect(await complete(client)).toEqual("may_have_run");
      }
      expect(await complete(client)).toEqual("stop");
    });
  }

  it("may have run if the refusal is cut short", async () => {
    const refusal = '{"verdict":"not_run"}';
    for (const bytes of [refusal.length, refusal.length - 1]) {
      const client = await startEngine({
        status: 503,
        delimiter: "close",
        body: refusal.slice(0, bytes),
        ending: "close",
      });
      const expected = bytes === refusal.length ? "not_run" : "may_have_run";
      expect(await complete(client)).toEqual(expected);
    }
  });
});

describe("a stream of an engine that sends too much", () => {
  const sendEvents = (events: string) =>
    startEngine({ delimiter: "chunked", body: events, ending: "close" });

  // Guards against events without end for a few tokens that were asked for.
  it("is cut once it has more events than tokens were asked for", async () => {
    const many = await sendEvents(TEXT_EVENT.repeat(30) + LAST_EVENTS);
    expect(await complete(many)).toEqual("may_have_run");
    const fitting = await sendEvents(TEXT_EVENT.repeat(5) + LAST_EVENTS);
    expect(await complete(fitting)).toEqual("stop");
  });

  // Guards against a list that is filled up to an index an engine has chosen.
  it("is cut at a tool call with a huge index", async () => {
    const call = { index: 1e9, id: "c", function: { name: "f" } };
    const event = { choices: [{ index: 0, delta: { tool_calls: [call] } }] };
    const client = await sendEvents(
      `data: ${JSON.stringify(event)}\n\n${LAST_EVENTS}`,
    );
    expect(await complete(client)).toEqual("may_have_run");
  });
});

describe("StreamParser", () => {
  it("finds the same events however they are cut", () => {
    const text = TEXT_EVENT.replace("hi", "ü") + TEXT_EVENT + LAST_EVENTS;
    const whole = new StreamParser();
    const expected = whole.read(text);
    for (let size = 1; size <= text.length; size++) {
      const parser = new StreamParser();
      const found = { events: "", text: "", tokens: 0 };
      for (let i = 0; i < text.length; i += size) {
        const delta = parser.read(text.slice(i, i + size));
        found.events += delta.events;
        found.text += delta.text;
        found.tokens += delta.tokens;
      }
      expect(found).toEqual(expected);
      expect(parser.isDone).toEqual(true);
      expect(parser.keptBytes).toEqual(0);
    }
  });

  // Guards against a text that is copied with each character that arrives.
  it("keeps little more than the bytes of an event", () => {
    const parser = new StreamParser();
    const bytes = 200_000;
    for (let i = 0; i < bytes; i++) parser.read("x");
    expect(parser.keptBytes).toBeLessThan(2 * bytes);
  });
});

describe("an engine that limits its requests", () => {
  // Guards against LIMIT: what an upstream says of its limit was not read.
  for (const status of [429, 503]) {
    it(`says when it takes requests again (${status})`, async () => {
      const client = await startEngine({
        status,
        headers: "retry-after: 1.5\r\n",
        delimiter: "length",
        body: '{"verdict":"not_run"}',
        ending: "close",
      });
      const err = await completeOrFail(client).catch((it) => it);
      expect([err.verdict, err.retryAfterMs]).toEqual(["not_run", 1_500]);
    });
  }

  it("says nothing with a header that cannot be read", async () => {
    const client = await startEngine({
      status: 429,
      headers: "retry-after: soon\r\n",
      delimiter: "length",
      body: "{}",
      ending: "close",
    });
    const err = await completeOrFail(client).catch((it) => it);
    expect(err.retryAfterMs).toEqual(undefined);
  });
});

describe("a control response of an engine", () => {
  for (const ending of ENDINGS) {
    it(`is rejected if its connection ends early (${ending})`, async () => {
      const body = '{"programs":["p1","p2"]}';
      for (const bytes of [0, 5, body.length - 1]) {
        const client = await startEngine({
          delimiter: "close",
          body: body.slice(0, bytes),
          ending,
        });
        await expect(client.listPinnedPrograms()).toBeRejected();
      }
    });
  }
});

describe("a response of an engine that does not end", () => {
  // Guards against an engine whose response never ends.
  it("fails after bounded bytes", async () => {
    let sentBytes = 0;
    const piece = Buffer.alloc(262_144, " ");
    const client = await listen((socket) => {
      socket.write("HTTP/1.1 200 OK\r\n\r\n");
      const writeOn = () => {
        while (!socket.destroyed) {
          sentBytes += piece.length;
          if (!socket.write(piece)) return void socket.once("drain", writeOn);
        }
      };
      writeOn();
    });
    const result = await client.fetchLoad().catch((err) =>
      err.verdict as string
    );
    expect(result).toEqual("may_have_run");
    expect(sentBytes).toBeLessThan(MAX_SENT_BYTES);
  });

  // Guards against an event without end, which is copied with each chunk.
  it("fails when one event does not end", () => {
    const parser = new StreamParser();
    const piece = "x".repeat(16_384);
    const readOn = () => {
      for (let sent = 0; sent < MAX_SENT_BYTES; sent += piece.length) {
        parser.read(piece);
      }
    };
    expect(readOn).toThrow("event exceeds");
  });
});

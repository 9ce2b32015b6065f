import { createNoopLoggers } from "@toucantrestle/log";
import { createSystemTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { type AddressInfo, createServer, type Server } from "node:net";
import { after, before, describe, it } from "node:test";
import { ChannelPool, type ResponseHead } from "../src/mod.ts";

/** How a connection ends: a reset arrives after the last bytes or with them. */
const ENDINGS = ["close", "reset", "reset at once"] as const;
const RESET_DELAY_MS = 5;
const ID = "request-1";
const KEPT_ID = "request-0";
const BODY = "0123456789";
/** Whole responses, by how the end of their body is marked. */
const RESPONSES: Record<string, string> = {
  "a length": respond("HTTP/1.1", `content-length: 10\r\n\r\n${BODY}`),
  "an empty body": respond("HTTP/1.1", "content-length: 0\r\n\r\n"),
  "a length, and no keep-alive": respond(
    "HTTP/1.1",
    `connection: close\r\ncontent-length: 10\r\n\r\n${BODY}`,
  ),
  "HTTP/1.0": respond("HTTP/1.0", `content-length: 10\r\n\r\n${BODY}`),
  "chunks": respond(
    "HTTP/1.1",
    `transfer-encoding: chunked\r\n\r\na\r\n${BODY}\r\n0\r\n\r\n`,
  ),
  "chunks, and no keep-alive": respond(
    "HTTP/1.1",
    "connection: close\r\ntransfer-encoding: chunked\r\n\r\n" +
      `a\r\n${BODY}\r\n0\r\n\r\n`,
  ),
  "its connection": respond("HTTP/1.1", `\r\n${BODY}`),
};
/** Bytes that a connection may bring before the response. */
const PREFIXES: Record<string, string> = {
  "nothing": "",
  "an interim response": "HTTP/1.1 100 Continue\r\n\r\n",
  "early hints": "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n",
  "a response to another request":
    "HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 3\r\n\r\nabc",
  "chunks to another request":
    "HTTP/1.1 503 Full\r\nx-id: other\r\ntransfer-encoding: chunked\r\n\r\n" +
    "3\r\nabc\r\n0\r\n\r\n",
};

/** What the upstream sends for the current request, and how it ends it. */
let planned: { bytes: string; ending: typeof ENDINGS[number] };
let server: Server;
let address: string;

function respond(version: string, rest: string): string {
  return `${version} 200 OK\r\nx-id: ${ID}\r\n${rest}`;
}

before(async () => {
  server = createServer((socket) => {
    socket.on("error", () => socket.destroy());
    socket.on("data", (bytes) => {
      if (bytes.includes(KEPT_ID)) {
        const line = `x-id: ${KEPT_ID}\r\ncontent-length: 2\r\n\r\nok`;
        socket.write(`HTTP/1.1 200 OK\r\n${line}`);
        return;
      }
      socket.write(planned.bytes);
      if (planned.ending === "close") socket.end();
      else if (planned.ending === "reset at once") socket.resetAndDestroy();
      else setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});

after(() => server.close());

/** Sends a request; returns the body if the response counts as complete. */
function send(pool: ChannelPool, id: string): Promise<string | undefined> {
  let body = "";
  return new Promise((resolve) => {
    pool.send(
      { id, method: "GET", path: "/", headers: ["x-id", id], body: NO_BODY },
      {
        onHead: () => {},
        onData: (bytes) => body += bytes,
        onEnd: () => resolve(body),
        onFailure: () => resolve(undefined),
      },
    );
  });
}

const NO_BODY = Buffer.alloc(0);
const echoedRequestId = (head: ResponseHead) => head.headers.get("x-id");

async function sendOnce(opts: { isKept: boolean }) {
  const pool = new ChannelPool({
    address,
    timer: createSystemTimer(),
    log: createNoopLoggers()("pool"),
    echoedRequestId,
  });
  if (opts.isKept) expect(await send(pool, KEPT_ID)).toEqual("ok");
  const body = await send(pool, ID);
  pool.close();
  return body;
}

/** Cuts a response at each byte; returns the cuts that counted as complete. */
async function completeCuts(
  response: string,
  opts: {
    prefix: string;
    ending: typeof ENDINGS[number];
    isKept: boolean;
  },
): Promise<number[]> {
  const complete: number[] = [];
  for (let bytes = 0; bytes < response.length; bytes++) {
    const sent = opts.prefix + response.slice(0, bytes);
    planned = { bytes: sent, ending: opts.ending };
    if (await sendOnce(opts) !== undefined) complete.push(bytes);
  }
  return complete;
}

// Guards against a part of a response that counts as a whole one (MIXED, ORDER).
describe("a response that is cut at any byte", () => {
  for (const [mark, response] of Object.entries(RESPONSES)) {
    const headBytes = response.indexOf("\r\n\r\n") + 4;
    for (const [before, prefix] of Object.entries(PREFIXES)) {
      const endings = prefix === "" ? ENDINGS : ["close"] as const;
      for (const ending of endings) {
        for (const isKept of [false, true]) {
          const where = isKept ? "a kept" : "a new";
          it(`is not complete (${mark}; after ${before}; ${ending}; ${where} connection)`, async () => {
            const cuts = await completeCuts(response, {
              prefix,
              ending,
              isKept,
            });
            // Nothing but the end of the connection marks the end of a body
            // without a length; the bytes of its head are all needed.
            const isMarked = mark !== "its connection" || ending !== "close";
            expect(isMarked ? cuts : cuts.filter((it) => it < headBytes))
              .toEqual([]);
          });
        }
      }
    }
  }

  it("is complete when it is whole", async () => {
    for (const [mark, response] of Object.entries(RESPONSES)) {
      for (const prefix of Object.values(PREFIXES)) {
        planned = { bytes: prefix + response, ending: "close" };
        const expected = mark === "an empty body" ? "" : BODY;
        expect(await sendOnce({ isKept: true })).toEqual(expected);
      }
    }
  });
});

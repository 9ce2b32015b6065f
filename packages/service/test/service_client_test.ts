import { createNoopLoggers } from "@toucantrestle/log";
import { MemoryHolders } from "@toucantrestle/memory";
import { createSystemTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { ServiceClient, type ServiceResponse } from "../src/mod.ts";

const RESET_DELAY_MS = 20;
const POLL_MS = 5;
const PIECE_COUNT = 100_000;
/** Above the largest response, for kernel buffers as well. */
const MAX_SENT_BYTES = 32_000_000;
const closers: (() => void)[] = [];
const holders = new MemoryHolders();

afterEach(() => {
  for (const close of closers.splice(0)) close();
});

function createClient(address: string): ServiceClient {
  return new ServiceClient({
    name: "s1",
    address,
    timer: createSystemTimer(),
    log: createNoopLoggers()("service"),
    holders,
  });
}

function keptBytes(): number {
  return holders.bytesByPurpose().responses;
}

/** Starts a service that handles each request's connection as given. */
async function startService(
  onRequest: (socket: Socket) => void,
): Promise<ServiceClient> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => socket.destroy());
    socket.on("data", () => onRequest(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const client = createClient(`127.0.0.1:${port}`);
  closers.push(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
    client.close();
  });
  return client;
}

function call(
  client: ServiceClient,
  deadlineMs = 2_000,
): Promise<ServiceResponse> {
  return client.call({
    requestId: "q1",
    program: "p1",
    step: 1,
    route: "book",
    body: "{}",
    deadlineMs,
  });
}

const HEAD = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n";

/** Sends the bytes and then ends the connection. */
function sendAndEnd(
  bytes: string,
  ending: "close" | "reset",
): (socket: Socket) => void {
  return (socket) => {
    socket.write(bytes);
    if (ending === "close") socket.end();
    else setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
  };
}

describe("a service's response", () => {
  it("is returned when it has a length", async () => {
    const client = await startService((socket) =>
      socket.write(`${HEAD}content-length: 4\r\n\r\ndone`)
    );
    expect(await call(client)).toEqual({
      status: 200,
      contentType: "text/plain",
      body: "done",
      endsWithConnection: false,
      retryAfterMs: undefined,
    });
  });

  it("is returned when its connection is closed in place of a length", async () => {
    const client = await startService(sendAndEnd(`${HEAD}\r\ndone`, "close"));
    const { body, endsWithConnection } = await call(client);
    expect([body, endsWithConnection]).toEqual(["done", true]);
  });

  // Guards against taking a reset for the end of a body without a length.
  it("is not complete when its connection is reset in place of a length", async () => {
    const client = await startService(sendAndEnd(`${HEAD}\r\ndo`, "reset"));
    await expect(call(client)).toBeRejectedWith("closed the connection");
  });

  for (const ending of ["close", "reset"] as const) {
    it(`is not complete when its length or chunks are cut (${ending})`, async () => {
      for (
        const header of [
          "content-length: 9\r\n\r\ndone",
          "transfer-encoding: chunked\r\n\r\n4\r\ndone\r\n",
        ]
      ) {
        const client = await startService(sendAndEnd(HEAD + header, ending));
        await expect(call(client)).toBeRejectedWith("closed the connection");
      }
    });
  }
});

describe("a service's response in chunks of one byte", () => {
  // Guards against a list of one buffer for each chunk.
  it("is counted by what is kept for it, and can be cut", async () => {
    const client = await startService((socket) => {
      socket.write(`${HEAD}transfer-encoding: chunked\r\n\r\n`);
      socket.write("1\r\nx\r\n".repeat(PIECE_COUNT));
    });
    const failed = call(client).catch((err) => err.message);
    while (keptBytes() < PIECE_COUNT) await delay(POLL_MS);
    expect(keptBytes()).toBeLessThan(3 * PIECE_COUNT);
    for (const it of holders) it.cut?.();
    expect(await failed).toEqual("call of service s1 was cancelled");
    expect(holders.count).toEqual(0);
  });
});

describe("the verdict on a call of a service", () => {
  /** Returns the verdict of the error that a call throws. */
  const verdictOf = (client: ServiceClient, deadlineMs?: number) =>
    call(client, deadlineMs).then(
      () => "ran",
      (err) => (err as { verdict: string }).verdict,
    );

  it("is not_run when the service cannot be reached", async () => {
    const client = createClient("127.0.0.1:1");
    closers.push(() => client.close());
    expect(await verdictOf(client)).toEqual("not_run");
  });

  it("is may_have_run when the connection ends without a response", async () => {
    const client = await startService((socket) => socket.destroy());
    expect(await verdictOf(client)).toEqual("may_have_run");
  });

  it("is may_have_run when the deadline passes", async () => {
    const client = await startService(() => {});
    expect(await verdictOf(client, 50)).toEqual("may_have_run");
  });

  it("is that of the response when the service declines the call", async () => {
    const body = '{"verdict":"not_run"}';
    const client = await startService((socket) =>
      socket.write(
        `HTTP/1.1 503 Busy\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
      )
    );
    expect(await verdictOf(client)).toEqual("not_run");
  });

  // Guards against a service whose response never ends.
  it("fails after bounded bytes if a response does not end", async () => {
    let sentBytes = 0;
    const piece = Buffer.alloc(262_144, "x");
    const client = await startService((socket) => {
      socket.write(`${HEAD}\r\n`);
      const writeOn = () => {
        while (!socket.destroyed) {
          sentBytes += piece.length;
          if (!socket.write(piece)) return void socket.once("drain", writeOn);
        }
      };
      writeOn();
    });
    const result = await call(client).catch((err) => err.verdict as string);
    expect(result).toEqual("may_have_run");
    expect(sentBytes).toBeLessThan(MAX_SENT_BYTES);
  });
});

describe("a service that limits its requests", () => {
  // Guards against LIMIT: what an upstream says of its limit was not read.
  for (const status of [429, 503]) {
    it(`says when it takes requests again (${status})`, async () => {
      const body = '{"verdict":"not_run"}';
      const client = await startService((socket) =>
        socket.end(
          `HTTP/1.1 ${status} x\r\nretry-after: 1.5\r\n` +
            `content-length: ${body.length}\r\n\r\n${body}`,
        )
      );
      const err = await call(client).catch((it) => it);
      expect([err.verdict, err.retryAfterMs]).toEqual(["not_run", 1_500]);
    });
  }
});

import { createNoopLoggers } from "@toucantrestle/log";
import { createSystemTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { afterEach, describe, it } from "node:test";
import { type ChannelFailure, ChannelPool } from "../src/mod.ts";

let server: Server | undefined;
const sockets = new Set<Socket>();

afterEach(() => {
  for (const socket of sockets) socket.destroy();
  sockets.clear();
  server?.close();
  server = undefined;
});

/**
 * Starts an upstream that calls `onRequest` with the id of each request, and
 * returns a pool of connections to it.
 */
async function createUpstream(
  onRequest: (id: string, socket: Socket) => void,
): Promise<ChannelPool> {
  server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => socket.destroy());
    socket.on("data", (chunk) => {
      for (const match of chunk.toString().matchAll(/x-id: (\w+)/g)) {
        onRequest(match[1] ?? "", socket);
      }
    });
  });
  await new Promise<void>((resolve) => server?.listen(0, "127.0.0.1", resolve));
  return createPool((server.address() as AddressInfo).port);
}

function createPool(port: number): ChannelPool {
  return new ChannelPool({
    address: `127.0.0.1:${port}`,
    timer: createSystemTimer(),
    log: createNoopLoggers()("upstream"),
    echoedRequestId: (head) => head.headers.get("x-id"),
  });
}

interface Outcome {
  status?: number;
  body: string;
  failure?: ChannelFailure;
}

function send(
  pool: ChannelPool,
  id: string,
  method = "GET",
): Promise<Outcome> {
  const outcome: Outcome = { body: "" };
  return new Promise((resolve) => {
    pool.send(
      {
        id,
        method,
        path: "/",
        headers: ["x-id", id],
        body: new Uint8Array(),
      },
      {
        onHead: (head) => outcome.status = head.status,
        onData: (chunk) => outcome.body += chunk.toString(),
        onEnd: () => resolve(outcome),
        onFailure: (failure) => resolve({ ...outcome, failure }),
      },
    );
  });
}

function formatResponse(id: string, body = "ok"): string {
  return `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-length: ${body.length}` +
    `\r\n\r\n${body}`;
}

describe("ChannelPool", () => {
  it("reuses an idle connection", async () => {
    const pool = await createUpstream((id, socket) =>
      socket.write(formatResponse(id))
    );
    await send(pool, "a");
    await send(pool, "b");
    expect(pool.openedCount).toEqual(1);
    pool.close();
  });

  it("skips a response to an earlier request", async () => {
    const pool = await createUpstream((id, socket) => {
      if (id === "b") socket.write(formatResponse("a", "late"));
      socket.write(formatResponse(id, id));
    });
    await send(pool, "a");
    const second = await send(pool, "b");
    expect(second.body).toEqual("b");
    pool.close();
  });

  it("does not reuse a connection with extra bytes after the response", async () => {
    const pool = await createUpstream((id, socket) =>
      socket.write(formatResponse(id) + formatResponse(id))
    );
    const first = await send(pool, "a");
    expect(first.body).toEqual("ok");
    await send(pool, "b");
    expect(pool.openedCount).toEqual(2);
    pool.close();
  });

  it("closes an idle connection that receives data", async () => {
    const pool = await createUpstream((id, socket) => {
      socket.write(formatResponse(id));
      setTimeout(() => socket.write(formatResponse(id)), 20);
    });
    await send(pool, "a");
    await new Promise((resolve) => setTimeout(resolve, 60));
    expect(pool.size).toEqual(0);
  });

  it("reports that a request may have run if its connection is lost", async () => {
    const pool = await createUpstream((_id, socket) => socket.destroy());
    const outcome = await send(pool, "a");
    expect(outcome.failure?.verdict).toEqual("may_have_run");
  });

  it("reports a truncated response as a failure", async () => {
    const pool = await createUpstream((id, socket) => {
      socket.write(formatResponse(id, "whole").slice(0, -2));
      setTimeout(() => socket.destroy(), 20);
    });
    const outcome = await send(pool, "a");
    expect(outcome.failure?.reason).toEqual("connection_lost");
  });

  it("completes a response without a length when the connection ends", async () => {
    const pool = await createUpstream((id, socket) => {
      socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n\r\nall`);
    });
    const outcome = await send(pool, "a");
    expect(outcome.body).toEqual("all");
    expect(outcome.failure).toEqual(undefined);
  });

  for (
    const [method, response] of [
      ["GET", "HTTP/1.1 204 No Content\r\n"],
      ["GET", "HTTP/1.1 304 Not Modified\r\n"],
      ["HEAD", "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n"],
    ] as const
  ) {
    it(`completes a response that has no body (${method}, ${response.slice(9, 12)})`, async () => {
      const pool = await createUpstream((id, socket) => {
        socket.write(`${response}x-id: ${id}\r\n\r\n`);
        setTimeout(() => socket.resetAndDestroy(), 200);
      });
      const outcome = await send(pool, "a", method);
      expect(outcome.failure).toEqual(undefined);
      expect(outcome.body).toEqual("");
      pool.close();
    });
  }

  it("reports a failure if a response without a length is reset", async () => {
    const pool = await createUpstream((id, socket) => {
      socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n\r\nal`);
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
    const outcome = await send(pool, "a");
    expect(outcome.failure?.reason).toEqual("connection_lost");
  });

  it("rejects data that is not an HTTP response", async () => {
    const pool = await createUpstream((_id, socket) =>
      socket.write("\u0000\u0001 nonsense\r\n\r\n")
    );
    const outcome = await send(pool, "a");
    expect(outcome.failure?.reason).toEqual("bad_answer");
  });

  it("reports that a request did not run if the connection is refused", async () => {
    const outcome = await send(createPool(1), "a");
    expect(outcome.failure?.verdict).toEqual("not_run");
    expect(outcome.failure?.reason).toEqual("connect_refused");
  });

  it("does not reuse a connection after its announced idle timeout", async () => {
    const pool = await createUpstream((id, socket) =>
      socket.write(
        formatResponse(id).replace("\r\n", "\r\nkeep-alive: timeout=0\r\n"),
      )
    );
    await send(pool, "a");
    await send(pool, "b");
    expect(pool.openedCount).toEqual(2);
    pool.close();
  });
});

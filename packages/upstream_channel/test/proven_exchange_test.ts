import { createNoopLoggers } from "@toucantrestle/log";
import { createSystemTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import { type ChannelFailure, ChannelPool } from "../src/mod.ts";

const NAME = "p1";
let server: Server | undefined;

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

/** Starts an upstream with a name, and returns a pool and what it receives. */
async function createFixture() {
  const received: string[] = [];
  const wish = { maySend: true, endsAtName: false };
  server = createServer((req, res) => {
    received.push(req.url ?? "");
    if (req.url === "/name") wish.maySend = wish.maySend && !wish.endsAtName;
    else res.setHeader("x-id", String(req.headers["x-id"]));
    res.end(NAME);
  });
  await new Promise<void>((resolve) => server?.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const pool = new ChannelPool({
    address: `127.0.0.1:${port}`,
    timer: createSystemTimer(),
    log: createNoopLoggers()("upstream"),
    echoedRequestId: (head) => head.headers.get("x-id"),
    maySend: () => wish.maySend,
    identity: {
      questions: [{
        createRequest: () => ({
          ...createRequest("q", "/name"),
          mayLackId: true,
        }),
        parse: (_head, body) => ({ kind: "name", name: body.toString() }),
      }],
      expectedName: NAME,
      onOther() {},
      isCurrent: () => true,
    },
  });
  return { pool, received, wish };
}

function createRequest(id: string, path: string) {
  const headers = ["host", "x.example", "x-id", id];
  return { id, method: "GET", path, headers, body: new Uint8Array() };
}

/** Sends a request to the expected process; returns its failure, if any. */
function send(
  pool: ChannelPool,
  path: string,
): Promise<ChannelFailure | undefined> {
  return new Promise((resolve) => {
    pool.send(createRequest("r", path), {
      onHead() {},
      onData() {},
      onEnd: () => resolve(undefined),
      onFailure: resolve,
    }, "proven");
  });
}

describe("a request for one process", () => {
  it("is sent after a question on its connection, asked once", async () => {
    const { pool, received } = await createFixture();
    expect(await send(pool, "/a")).toEqual(undefined);
    expect(await send(pool, "/b")).toEqual(undefined);
    expect(received).toEqual(["/name", "/a", "/b"]);
  });

  // Guards against a request to an upstream that has left meanwhile (DRAIN).
  it("is not sent if it is not wanted after the question", async () => {
    const { pool, received, wish } = await createFixture();
    wish.endsAtName = true;
    const failure = await send(pool, "/a");
    expect([failure?.reason, failure?.verdict])
      .toEqual(["not_wanted", "not_run"]);
    expect(received).toEqual(["/name"]);
  });
});

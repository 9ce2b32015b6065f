import { expect } from "earl";
import { connect } from "node:net";
import { after, before, beforeEach, describe, it } from "node:test";
import { TestCluster } from "./test_cluster.ts";

const cluster = new TestCluster();
const READ_TIMEOUT_MS = 6_000;
/** Header limit in the configuration of `TestCluster`, in bytes. */
const HEADER_LIMIT_BYTES = 16_384;

before(async () => {
  cluster.configure([{ prefix: "/plain/" }]);
  await cluster.addTurnStores(3);
  await cluster.addUpstream("u1");
  await cluster.addFront();
  await cluster.waitUntilReady("/plain/x");
});

after(() => cluster.close());

beforeEach(() => {
  cluster.received.length = 0;
});

describe("seeds that cannot be dialled", () => {
  // Guards against a settings file that ends the process (LOST).
  it("are left out while the front goes on", async () => {
    const seeds = ["127.0.0.1:65536", "no address", "", "127.0.0.1:1"];
    const [front] = cluster.fronts;
    front?.applySettings({ graceMs: 3_000, seeds });
    const { status } = await cluster.call("/plain/x", {
      headers: { "x-id": "seeds" },
    });
    expect(status).toEqual(200);
    front?.applySettings({ graceMs: 3_000, seeds: [] });
  });
});

describe("a malformed request", () => {
  it("gets status 431 when its header is too large", async () => {
    const result = await sendRaw([
      "GET /plain/ HTTP/1.1",
      "Host: x.example",
      "X-Id: b1",
      `X-Long: ${"y".repeat(HEADER_LIMIT_BYTES)}`,
    ]);
    expect(statusOf(result)).toEqual(431);
    expect(cluster.received).toEqual([]);
  });

  it("gets status 400 when two Content-Length headers differ", async () => {
    const result = await sendRaw([
      "POST /plain/ HTTP/1.1",
      "Host: x.example",
      "X-Id: b2",
      "Content-Length: 4",
      "Content-Length: 40",
    ], "body");
    expect(statusOf(result)).toEqual(400);
    expect(cluster.received).toEqual([]);
  });

  it("cannot smuggle a request by Content-Length with Transfer-Encoding", async () => {
    const result = await sendRaw(
      [
        "POST /plain/a HTTP/1.1",
        "Host: x.example",
        "X-Id: b3",
        "Content-Length: 5",
        "Transfer-Encoding: chunked",
      ],
      "0\r\n\r\nGET /plain/hidden HTTP/1.1\r\nHost: x.example\r\nX-Id: b4\r\n\r\n",
    );
    expect(statusOf(result)).toEqual(400);
    expect(cluster.received).toEqual([]);
  });

  it("cannot smuggle a request in a chunked body", async () => {
    const hidden = "GET /plain/hidden HTTP/1.1\r\nX-Id: b6\r\n\r\n";
    await sendRaw([
      "POST /plain/b HTTP/1.1",
      "Host: x.example",
      "X-Id: b5",
      "Transfer-Encoding: chunked",
      "Connection: close",
    ], `${hidden.length.toString(16)}\r\n${hidden}\r\n0\r\n\r\n`);
    expect(cluster.received.map((it) => [it.id, it.path])).toEqual([
      ["b5", "/plain/b"],
    ]);
    expect(cluster.received[0]?.body).toEqual(hidden);
  });

  it("times out when its header is never completed", async () => {
    const startedAt = Date.now();
    const result = await sendRaw(["GET /plain/ HTTP/1.1", "Host: x.exa"], null);
    expect(Date.now() - startedAt).toBeLessThan(READ_TIMEOUT_MS);
    expect([0, 408].includes(statusOf(result))).toEqual(true);
    expect(cluster.received).toEqual([]);
  });

  it("does not affect the next request on another connection", async () => {
    await sendRaw(["BROKEN", "\u0000"]);
    const result = await cluster.call("/plain/", { headers: { "x-id": "b7" } });
    expect([result.status, result.body]).toEqual([200, "did b7"]);
  });
});

/**
 * Sends header lines and a body unmodified, and reads until the connection
 * closes. If the body is null, the header is left incomplete.
 */
function sendRaw(lines: string[], body: string | null = ""): Promise<string> {
  const { hostname, port } = new URL(`http://${cluster.callerAddresses[0]}`);
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), hostname);
    let text = "";
    socket.setTimeout(READ_TIMEOUT_MS, () => socket.destroy());
    socket.on("data", (chunk) => text += chunk);
    socket.on("close", () => resolve(text));
    socket.on("error", (err) => text === "" ? reject(err) : resolve(text));
    const head = lines.join("\r\n");
    socket.write(body === null ? head : `${head}\r\n\r\n${body}`);
  });
}

/** Returns the status of the first response; 0 if there is none. */
function statusOf(text: string): number {
  return Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 0);
}

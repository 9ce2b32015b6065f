import { expect } from "earl";
import { type IncomingMessage, request } from "node:http";
import { after, before, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { TestCluster } from "./test_cluster.ts";

/** Longer than an attempt at a call that is usually fast may take. */
const PAUSE_MS = 1_500;
const TIMEOUT_MS = 20_000;
const WARM_CALLS = 20;
/** More than the kernel holds for a caller. */
const BODY_BYTES = 16_000_000;
/** A response that is longer is passed on as it comes. */
const FIRST_BYTES = 500_000;

const cluster = new TestCluster();

before(async () => {
  cluster.configure([{ prefix: "/plain/", timeoutMs: TIMEOUT_MS }]);
  await cluster.addTurnStores(3);
  for (const id of ["a", "b"]) {
    await cluster.addUpstream(id, async ({ path }, res) => {
      if (path === "/plain/warm") return res.end("warm");
      if (path === "/plain/large") return res.end(Buffer.alloc(BODY_BYTES));
      res.writeHead(200, { "content-length": BODY_BYTES });
      res.write(Buffer.alloc(FIRST_BYTES));
      await delay(PAUSE_MS);
      res.end(Buffer.alloc(BODY_BYTES - FIRST_BYTES));
    });
  }
  await cluster.addFront();
  await cluster.waitUntilReady("/plain/warm");
  for (let i = 0; i < WARM_CALLS; i++) {
    await cluster.call("/plain/warm", { headers: { "x-id": `w${i}` } });
  }
  cluster.received.length = 0;
});

after(() => cluster.close());

/** Sends a request and returns its response, unread. */
function open(path: string): Promise<IncomingMessage> {
  const [host, port] = String(cluster.callerAddresses[0]).split(":");
  const headers = { host: "x.example", "x-id": path };
  return new Promise((resolve, reject) => {
    const req = request({ host, port, path, headers, agent: false }, resolve);
    req.on("error", reject);
    req.end();
  });
}

/** Reads a body and returns its size; -1 if it is not whole. */
function readBytes(res: IncomingMessage): Promise<number> {
  return new Promise((resolve) => {
    let bytes = 0;
    res.on("data", (chunk) => bytes += chunk.length);
    res.on("error", () => {});
    res.on("close", () => resolve(res.complete ? bytes : -1));
  });
}

function runsOf(path: string): number {
  return cluster.received.filter((it) => it.path === path).length;
}

describe("large response of a call that may be repeated", () => {
  // Guards against LOST: a response was cut because its caller read slowly.
  it("is not cut while its caller reads slowly", async () => {
    const res = await open("/plain/large");
    await delay(PAUSE_MS);
    expect(await readBytes(res)).toEqual(BODY_BYTES);
    expect(runsOf("/plain/large")).toEqual(1);
  });

  // Guards against LOST: a response was cut because its upstream paused.
  it("is not cut while its upstream pauses", async () => {
    const res = await open("/plain/pausing");
    expect(await readBytes(res)).toEqual(BODY_BYTES);
    expect(runsOf("/plain/pausing")).toEqual(1);
  });
});

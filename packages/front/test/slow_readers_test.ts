import { expect } from "earl";
import type { ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { TestCluster } from "./test_cluster.ts";

const READERS = 500;
const PIECE = Buffer.alloc(65_536, "x");
/** More than the kernel holds for a caller. */
const BODY_BYTES = 8_000_000;
/** Budget of the buffers, three tenths of the memory that the front is given. */
const BUDGET_BYTES = 6_000_000;
const WAIT_MS = 15_000;
/** Growth of the process besides the budget: kernel handles and garbage. */
const MAX_OTHER_BYTES = 120_000_000;

const cluster = new TestCluster({
  loggers: () => ({ debug() {}, info() {}, warn: onWarning, error() {} }),
});
/** Readers that the front has disconnected. */
let cutCount = 0;
const readers: Socket[] = [];

before(async () => {
  const timeoutMs = 60_000;
  cluster.configure([
    // Without a second run there is no attempt that counts as slow.
    { prefix: "/stream/", maxRuns: 1, timeoutMs },
    { prefix: "/once/", kind: "non_idempotent", maxRuns: 1, timeoutMs },
    { prefix: "/warm/" },
  ]);
  await cluster.addTurnStores(3);
  await cluster.addUpstream("u", (received, res) => {
    if (received.path.startsWith("/warm/")) res.end("warm");
    else send(res, received.path.startsWith("/once/") ? BODY_BYTES : Infinity);
  }, { slots: 1_000 });
  await cluster.addFront({ memoryBytes: BUDGET_BYTES / 0.3 });
  await cluster.waitUntilReady("/warm/x");
});

after(async () => {
  for (const socket of readers) socket.destroy();
  await cluster.close();
});

function onWarning(_text: string, fields?: Record<string, unknown>): void {
  if (fields?.event === "memory_pressure") cutCount += Number(fields.cut);
}

/** Sends a body as fast as it is taken. */
async function send(res: ServerResponse, bytes: number): Promise<void> {
  for (let sent = 0; sent < bytes && !res.destroyed; sent += PIECE.length) {
    if (res.write(PIECE.subarray(0, bytes - sent))) continue;
    await new Promise<void>((resolve) => {
      const finish = () => {
        res.off("drain", finish);
        res.off("close", finish);
        resolve();
      };
      res.once("drain", finish);
      res.once("close", finish);
    });
  }
  res.end();
}

/** Sends a request and reads nothing of its response. */
function openReader(path: string, id: string): Socket {
  const [host = "", port] = (cluster.callerAddresses[0] ?? "").split(":");
  const socket = connect({ host, port: Number(port) });
  socket.pause();
  socket.on("error", () => {});
  socket.write(
    `GET ${path} HTTP/1.1\r\nhost: x.example\r\nx-id: ${id}\r\n\r\n`,
  );
  readers.push(socket);
  return socket;
}

async function until(isDone: () => boolean): Promise<void> {
  for (let ms = 0; ms < WAIT_MS && !isDone(); ms += 50) await delay(50);
}

// Guards against the end of the process by callers that do not read.
describe(`${READERS} callers that do not read`, () => {
  it("are cut or refused within the budget; what must not rerun is kept", async () => {
    const before = process.memoryUsage();
    const once = openReader("/once/a", "once");
    await delay(200);
    for (let i = 0; i < READERS; i++) openReader("/stream/a", `s${i}`);
    const statuses = new Set<number>();
    const isServedAgain = () =>
      statuses.has(503) && cutCount > 0 && statuses.has(200);
    for (let ms = 0; ms < WAIT_MS && !isServedAgain(); ms += 50) {
      const headers = { "x-id": `w${ms}` };
      if (!statuses.has(503) || cutCount > 0) {
        const { status } = await cluster.call("/warm/y", { headers });
        if (status === 200 && cutCount === 0) {
          await delay(50);
          continue;
        }
        statuses.add(status);
      }
      await delay(50);
    }
    const used = process.memoryUsage();
    expect([...statuses].sort()).toEqual([200, 503]);
    expect(cutCount).toBeGreaterThan(0);
    expect(once.destroyed).toEqual(false);
    expect(used.rss - before.rss).toBeLessThan(BUDGET_BYTES + MAX_OTHER_BYTES);
    let receivedBytes = 0;
    once.on("data", (chunk) => receivedBytes += chunk.length);
    once.resume();
    await until(() => receivedBytes > BODY_BYTES || once.destroyed);
    expect(receivedBytes).toBeGreaterThan(BODY_BYTES);
  });
});

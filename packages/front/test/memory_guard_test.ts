import { createNoopLoggers } from "@toucantrestle/log";
import { type MemoryHolder, MemoryHolders } from "@toucantrestle/memory";
import { createNoopMetrics } from "@toucantrestle/metrics";
import { createManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { createServer, get, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { CallerQueue } from "../src/call_holders.ts";
import type { Call } from "../src/call.ts";
import { MemoryGuard } from "../src/memory_guard.ts";
import { queuedBytes } from "../src/queued_bytes.ts";

const MB = 1_000_000;
const CHECK_MS = 200;

function createGuard() {
  const timer = createManualTimer();
  const holders = new MemoryHolders();
  const guard = new MemoryGuard({
    memoryBytes: 200 * MB,
    holders,
    timer,
    log: createNoopLoggers()("front"),
    metrics: createNoopMetrics(),
  });
  guard.start();
  return { timer, holders, guard };
}

/** A queue to a caller that is cut by a reset of its connection. */
function createQueue(bytes: number) {
  const cut: string[] = [];
  const socket = { resetAndDestroy: () => cut.push("reset") };
  const call = {
    route: { kind: "idempotent" },
    recorder: { recordOutcome() {} },
    req: { socket },
    res: { writableLength: bytes, socket },
  } as unknown as Call;
  return { queue: new CallerQueue(call), cut };
}

/** Serves one request with `write`, and calls `look` before it is read. */
async function withUnread(
  write: (res: ServerResponse) => void,
  look: (res: ServerResponse) => void,
): Promise<void> {
  const server = createServer();
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  const served = new Promise<void>((done) => {
    server.on("request", (_req, res) => {
      write(res);
      look(res);
      res.destroy();
      done();
    });
  });
  get({ host: "127.0.0.1", port }).on("error", () => {});
  await served;
  server.close();
}

describe("MemoryGuard", () => {
  // Guards against bodies, responses and messages that are only arriving.
  it("refuses requests when what arrives fills the budget", () => {
    const { timer, holders, guard } = createGuard();
    const remove = holders.add({
      purpose: "request_bodies",
      keptBytes: () => 45 * MB,
    });
    timer.advance(CHECK_MS);
    expect(guard.isRefusing).toEqual(true);
    remove();
    timer.advance(CHECK_MS);
    expect(guard.isRefusing).toEqual(false);
  });

  it("cuts slow readers, and leaves what is arriving to MemoryWatch", () => {
    const { timer, holders, guard } = createGuard();
    const { queue, cut } = createQueue(10 * MB);
    const isCut: string[] = [];
    const arriving: MemoryHolder = {
      purpose: "responses",
      keptBytes: () => 50 * MB,
      cut: () => isCut.push("arriving"),
    };
    holders.add(queue);
    holders.add(arriving);
    timer.advance(2 * CHECK_MS);
    expect([cut, isCut, guard.heldBytes]).toEqual([["reset"], [], 60 * MB]);
  });
});

describe("queuedBytes", () => {
  // Guards against a queue of one entry for each byte that counts as bytes.
  it("counts the entries of a queue, not only its bytes", async () => {
    const pieces = 1_000;
    await withUnread((res) => {
      for (let i = 0; i < pieces; i++) res.write("x");
    }, (res) => {
      expect(queuedBytes(res) > 100 * pieces).toEqual(true);
    });
  });

  it("is 0 for a response of which nothing waits", async () => {
    await withUnread(() => {}, (res) => {
      expect(queuedBytes(res)).toEqual(0);
    });
  });
});

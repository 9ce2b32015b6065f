import { MemoryStore } from "@toucantrestle/config_store";
import { StoppedWaitingError } from "@toucantrestle/lifecycle";
import { createNoopLoggers } from "@toucantrestle/log";
import { createNoopMetrics } from "@toucantrestle/metrics";
import { createSystemTimer, createTimerScope } from "@toucantrestle/timer";
import { readState } from "@toucantrestle/turn_journal";
import { expect } from "earl";
import { mkdtempSync, readdirSync, rmSync, writeFileSync } from "node:fs";
import { type AddressInfo, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { TurnStore } from "../src/mod.ts";

const STOP_TIMEOUT_MS = 1_000;
const POLL_MS = 50;
const IDLE_AFTER_MS = 2_500;
/** Two sweeps, and time for a busy machine. */
const NOTICE_TIMEOUT_MS = 20_000;

const timer = createTimerScope(createSystemTimer());
let folder: string;

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), "store-"));
});

afterEach(() => rmSync(folder, { recursive: true }));

after(() => timer.end());

async function findFreeAddress(): Promise<string> {
  const probe = createServer();
  await new Promise<void>((resolve) => probe.listen(0, "127.0.0.1", resolve));
  const { port } = probe.address() as AddressInfo;
  await new Promise((resolve) => probe.close(resolve));
  return `127.0.0.1:${port}`;
}

async function createStore(dataFolder: string) {
  const failures: unknown[] = [];
  const turnStore = new TurnStore({
    self: {
      host: "a",
      role: "turn_store",
      linkAddress: await findFreeAddress(),
      callerAddress: null,
      dataCentre: "a",
    },
    store: new MemoryStore(),
    folder: dataFolder,
    maxBytes: 1_000_000,
    maxSetAsideBytes: 1_000_000,
    isFirstStart: true,
    tolerate: 0,
    listRetiringHosts: () => [],
    onHostRetired() {},
    onHostCount() {},
    onFailure: (err) => failures.push(err),
    timer,
    loggers: createNoopLoggers(),
    metrics: createNoopMetrics(),
  });
  return { turnStore, failures };
}

async function idOf(path: string): Promise<string | undefined> {
  return (await readState<{ id: string }>(path).catch(() => undefined))?.id;
}

describe("turn store with its disk", () => {
  // Guards against a process that cannot be stopped while it awaits its disk.
  it("awaits its disk no longer once it is stopped", async () => {
    writeFileSync(join(folder, "data"), "in the way of the folder");
    const { turnStore } = await createStore(join(folder, "data", "turns"));
    const started = turnStore.start().catch((err) => err);
    await turnStore.stop(STOP_TIMEOUT_MS);
    expect(await started instanceof StoppedWaitingError).toEqual(true);
  });

  // Guards against a store that goes on without its disk.
  it("joins anew if its folder is deleted, and keeps the new one", async () => {
    const data = join(folder, "data");
    const { turnStore, failures } = await createStore(data);
    await turnStore.start();
    const first = await idOf(data);
    // Its first view is written: from now on an idle store writes nothing.
    await delay(IDLE_AFTER_MS);
    rmSync(data, { recursive: true });
    let second: string | undefined;
    const until = performance.now() + NOTICE_TIMEOUT_MS;
    while (second === undefined || second === first) {
      if (performance.now() > until) throw new Error("it was not noticed");
      await delay(POLL_MS);
      second = await idOf(data);
    }
    await turnStore.stop(STOP_TIMEOUT_MS);
    const next = await createStore(data);
    await next.turnStore.start();
    await next.turnStore.stop(STOP_TIMEOUT_MS);
    expect(await idOf(data)).toEqual(second);
    expect(readdirSync(data).includes("damaged")).toEqual(false);
    expect(failures).toEqual([]);
  });
});

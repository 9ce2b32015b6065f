import { MemoryStore } from "@toucantrestle/config_store";
import { Fleet, type HostEntry } from "@toucantrestle/fleet";
import { createNoopLoggers } from "@toucantrestle/log";
import { createNoopMetrics } from "@toucantrestle/metrics";
import {
  createSystemTimer,
  createTimerScope,
  type Timer,
  type TimerScope,
} from "@toucantrestle/timer";
import { readState, writeState } from "@toucantrestle/turn_journal";
import { expect } from "earl";
import { readdirSync, readlinkSync } from "node:fs";
import { mkdtemp, readdir, rm } from "node:fs/promises";
import { type AddressInfo, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { openStoreDisk, TurnStoreClient, TurnStoreServer } from "../src/mod.ts";

const loggers = createNoopLoggers();
const KEEP_MS = 60_000;
const TOKENS = 100;
const BUDGET = 800;
const HOSTS = ["a", "b", "c"];
const POLL_INTERVAL_MS = 20;
const WAIT_TIMEOUT_MS = 8_000;
const CALL_TIMEOUT_MS = 3_000;
/** Folder of the system with a link for each file that this process has open. */
const OPEN_FILES = "/proc/self/fd";
/** Longer than the turn stores take to sweep. */
const SWEEP_WAIT_MS = 5_500;

/** Added to the time of day of all hosts. */
let skippedMs = 0;

/** Timer whose time of day the test moves forward. */
function createSkippingTimer(): Timer {
  const timer = createSystemTimer();
  return { ...timer, now: () => Date.now() + skippedMs };
}

interface TestHost {
  server: TurnStoreServer;
  scope: TimerScope;
  folder: string;
  address: string;
}

/** Turn stores on disks, and a client that spends tokens. */
class TestStores {
  readonly #store = new MemoryStore();
  readonly #scope = createTimerScope(createSkippingTimer());
  readonly #hosts = new Map<string, TestHost>();
  readonly #folders: string[] = [];
  readonly client = new TurnStoreClient({
    self: "front",
    dataCentre: "a",
    timer: this.#scope,
    log: loggers("turns"),
    onView: () => {},
  });

  async start(host: string, isFirstStart = true): Promise<void> {
    const folder = await mkdtemp(join(tmpdir(), "turns-"));
    this.#folders.push(folder);
    const id = `${host}/${this.#folders.length}`;
    await writeState(folder, { id });
    const known = this.#hosts.get(host);
    const address = known?.address ?? await findFreeAddress();
    await this.#startServer(host, { id, folder, address, isFirstStart });
  }

  stop(host: string): void {
    const it = this.#hosts.get(host);
    it?.server.close();
    it?.scope.end();
  }

  /** Number of files that this process has open in the folder of a host. */
  openFileCount(host: string): number {
    const { folder } = this.#hosts.get(host) as TestHost;
    return readdirSync(OPEN_FILES).filter((it) => {
      try {
        return readlinkSync(join(OPEN_FILES, it)).startsWith(folder);
      } catch {
        return false;
      }
    }).length;
  }

  async restart(host: string): Promise<void> {
    this.stop(host);
    const { folder, address } = this.#hosts.get(host) as TestHost;
    const id = (await readState<{ id: string }>(folder))?.id ?? "";
    await this.#startServer(host, {
      id,
      folder,
      address,
      isFirstStart: false,
    });
  }

  async restartAll(): Promise<void> {
    for (const host of HOSTS) this.stop(host);
    for (const host of HOSTS) await this.restart(host);
    await this.waitUntilServing();
  }

  async waitForView(number: number): Promise<void> {
    await waitUntil(() =>
      (this.client.view?.number ?? 0) >= number &&
      [...this.#hosts.values()].every(({ server }) =>
        server.viewNumber === this.client.view?.number && server.isComplete
      )
    );
    await waitUntil(() => this.client.isQuorumReachable);
  }

  async waitUntilServing(): Promise<void> {
    await waitUntil(() => this.client.links.openLinkCount === HOSTS.length);
  }

  /** Reserves the tokens of a turn; returns whether that is granted. */
  async spend(turn: string): Promise<string> {
    const { verdict } = await this.client.reserve(
      {
        program: "p",
        turn,
        tokens: TOKENS,
        origin: undefined,
        resumed: undefined,
        keepMs: KEEP_MS,
        budget: BUDGET,
      },
      this.#scope.monotonicNow() + CALL_TIMEOUT_MS,
    );
    return verdict;
  }

  async spendAll(turns: string[]): Promise<void> {
    for (const turn of turns) expect(await this.spend(turn)).toEqual("granted");
  }

  /** Number of segment files of a host. */
  async segmentCount(host: string): Promise<number> {
    const { folder } = this.#hosts.get(host) as TestHost;
    const names = await readdir(folder);
    return names.filter((it) => it.endsWith(".log")).length;
  }

  async close(): Promise<void> {
    this.client.close();
    for (const host of this.#hosts.keys()) this.stop(host);
    this.#scope.end();
    for (const folder of this.#folders) {
      await rm(folder, { recursive: true, force: true, maxRetries: 5 });
    }
  }

  async #startServer(
    host: string,
    opts: {
      id: string;
      folder: string;
      address: string;
      isFirstStart: boolean;
    },
  ): Promise<void> {
    const { id, folder, address, isFirstStart } = opts;
    const scope = createTimerScope(createSkippingTimer());
    const self: HostEntry = {
      id,
      host,
      role: "turn_store",
      linkAddress: address,
      callerAddress: null,
      dataCentre: "a",
    };
    const fleet = new Fleet({
      self,
      store: this.#store,
      timer: scope,
      log: loggers("fleet"),
    });
    fleet.onView((view) => this.client.adoptView(view));
    const disk = await openStoreDisk({
      folder,
      maxBytes: 50_000_000,
      maxSetAsideBytes: 0,
      timer: scope,
      log: loggers("journal"),
    });
    const server = new TurnStoreServer({
      self,
      fleet,
      disk,
      isFirstStart,
      tolerate: 1,
      listRetiringHosts: () => [],
      onHostRetired: () => {},
      timer: scope,
      loggers,
      metrics: createNoopMetrics(),
    });
    await server.start();
    fleet.start();
    this.#hosts.set(host, { server, scope, folder, address });
  }
}

async function waitUntil(condition: () => boolean): Promise<void> {
  const end = Date.now() + WAIT_TIMEOUT_MS;
  while (!condition()) {
    if (Date.now() > end) throw new Error("condition not met in time");
    await delay(POLL_INTERVAL_MS);
  }
}

async function findFreeAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return `127.0.0.1:${port}`;
}

const EARLY_TURNS = ["t1", "t2", "t3", "t4", "t5", "t6", "t7"];
let stores: TestStores;

beforeEach(async () => {
  skippedMs = 0;
  stores = new TestStores();
  for (const host of HOSTS) await stores.start(host);
  await stores.waitForView(1);
  await stores.waitUntilServing();
});

afterEach(() => stores.close());

/** Time from the first turns of a program to its last one, in ms. */
const PAUSE_MS = 50_000;
/** From there on, the first turns have expired and the last one has not. */
const RETURN_MS = 55_000;

// Guards against a file of the journal that the garbage collector closes.
describe("a turn store that is closed", () => {
  it("keeps no file open", async () => {
    await stores.spendAll(["t1"]);
    const count = () =>
      HOSTS.map((it) => stores.openFileCount(it)).reduce((a, b) => a + b);
    expect(count()).toBeGreaterThan(0);
    for (const host of HOSTS) stores.stop(host);
    await waitUntil(() => count() === 0);
  });
});

describe("what a program has spent", () => {
  // Guards against a budget that is granted again because a restart drops the
  // records of a program one by one.
  it("is known after a restart of all stores", async () => {
    await stores.spendAll(EARLY_TURNS);
    skippedMs += PAUSE_MS;
    await stores.spendAll(["t8"]);
    skippedMs += RETURN_MS;
    await stores.restartAll();
    expect(await stores.spend("t9")).toEqual("spent");
  });

  it("is known after a restart of one store after the other", async () => {
    await stores.spendAll(EARLY_TURNS);
    skippedMs += PAUSE_MS;
    await stores.spendAll(["t8"]);
    skippedMs += RETURN_MS;
    for (const host of HOSTS) {
      await stores.restart(host);
      await stores.waitUntilServing();
    }
    expect(await stores.spend("t9")).toEqual("spent");
  });

  // Guards against a segment that is deleted with records of a program that
  // lives on.
  it("is known after the segments of its first turns were deleted", async () => {
    await stores.spendAll(EARLY_TURNS);
    await stores.restartAll();
    expect(await stores.segmentCount("a")).toEqual(2);
    skippedMs += PAUSE_MS;
    await stores.spendAll(["t8"]);
    skippedMs += RETURN_MS;
    await delay(SWEEP_WAIT_MS);
    expect(await stores.segmentCount("a")).toEqual(1);
    await stores.restartAll();
    expect(await stores.spend("t9")).toEqual("spent");
  });

  // Guards against copies that expire earlier than what they were copied from.
  it("is known to new replicas after their restart", async () => {
    await stores.spendAll(EARLY_TURNS);
    skippedMs += PAUSE_MS;
    await stores.spendAll(["t8"]);
    for (const [i, host] of HOSTS.entries()) {
      stores.stop(host);
      await stores.start(host, false);
      await stores.waitForView(i + 2);
    }
    skippedMs += RETURN_MS;
    await stores.restartAll();
    expect(await stores.spend("t9")).toEqual("spent");
  });

  // Guards against a quorum of which each member lacks another part: one was
  // down at the first turns, another one at the last.
  it("is known if another store was down at each turn", async () => {
    stores.stop("c");
    await stores.spendAll(EARLY_TURNS);
    await stores.restart("c");
    await stores.waitUntilServing();
    skippedMs += PAUSE_MS;
    stores.stop("a");
    await stores.spendAll(["t8"]);
    skippedMs += RETURN_MS;
    await stores.restart("a");
    await stores.waitUntilServing();
    await delay(SWEEP_WAIT_MS);
    stores.stop("b");
    expect(await stores.spend("t9")).toEqual("spent");
  });

  it("is known while the program goes on for long", async () => {
    await stores.spendAll(EARLY_TURNS);
    for (let i = 0; i < 3; i++) {
      skippedMs += RETURN_MS;
      await stores.restartAll();
      expect(await stores.spend(`refused-${i}`)).toEqual(
        i === 0 ? "granted" : "spent",
      );
    }
  });

  it("is forgotten when nothing of the program is kept", async () => {
    await stores.spendAll([...EARLY_TURNS, "t8"]);
    skippedMs += 3 * KEEP_MS;
    await stores.restartAll();
    expect(await stores.spend("t9")).toEqual("granted");
  });
});

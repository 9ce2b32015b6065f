import { MemoryStore } from "@toucantrestle/config_store";
import { Fleet, type HostEntry } from "@toucantrestle/fleet";
import { createSilentLoggers } from "@toucantrestle/log";
import { createSilentMetrics } from "@toucantrestle/metrics";
import {
  createSystemTimer,
  createTimerScope,
  type TimerScope,
} from "@toucantrestle/timer";
import { readState, writeState } from "@toucantrestle/turn_journal";
import { expect } from "earl";
import { mkdtemp, rm } from "node:fs/promises";
import { type AddressInfo, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, it } from "node:test";
import { TurnStoreClient, TurnStoreServer } from "../src/mod.ts";

const loggers = createSilentLoggers();
const STEP_MS = 20;
const LIMIT_MS = 8_000;
const KEEP_MS = 60_000;

interface Host {
  server: TurnStoreServer;
  fleet: Fleet;
  scope: TimerScope;
  folder: string;
  address: string;
}

/** Turn stores of one test, which can be stopped, emptied and retired. */
class Stores {
  readonly store = new MemoryStore();
  readonly hosts = new Map<string, Host>();
  readonly retiring: string[] = [];
  readonly retired = new Set<string>();
  readonly #scope = createTimerScope(createSystemTimer());
  readonly #folders: string[] = [];
  readonly client = new TurnStoreClient({
    self: "front",
    dataCentre: "a",
    timer: this.#scope,
    log: loggers("turns"),
    onView: () => {},
  });
  #ids = 0;

  async start(host: string, isFirstStart = true): Promise<void> {
    const folder = await mkdtemp(join(tmpdir(), "turns-"));
    this.#folders.push(folder);
    this.#ids += 1;
    await writeState(folder, { id: `${host}/${this.#ids}` });
    await this.#run(host, {
      id: `${host}/${this.#ids}`,
      folder,
      address: await freeAddress(),
      isFirstStart,
    });
  }

  stop(host: string): void {
    const it = this.hosts.get(host);
    it?.server.close();
    it?.scope.end();
  }

  /** Starts a host again with what is on its disk. */
  async restart(host: string): Promise<void> {
    const { address, folder } = this.hosts.get(host)!;
    const saved = await readState<{ id: string }>(folder);
    const id = saved?.id ?? "";
    await this.#run(host, { id, folder, address, isFirstStart: false });
  }

  /** Starts a host again at its address, with an empty disk. */
  async startEmptied(host: string): Promise<void> {
    const { address } = this.hosts.get(host)!;
    const folder = await mkdtemp(join(tmpdir(), "turns-"));
    this.#folders.push(folder);
    this.#ids += 1;
    const id = `${host}/${this.#ids}`;
    await writeState(folder, { id });
    await this.#run(host, { id, folder, address, isFirstStart: false });
  }

  /** Waits until the view has these hosts and all of them serve. */
  async settled(hosts: string[], number: number): Promise<void> {
    await until(() => {
      const view = this.client.view;
      const members = view?.members.map((it) => it.host).sort();
      return view !== undefined && view.number >= number &&
        JSON.stringify(members) === JSON.stringify(hosts.toSorted());
    });
    await until(() =>
      hosts.every((it) => {
        const { server } = this.hosts.get(it)!;
        const isCurrent = server.viewNumber === this.client.view?.number;
        return isCurrent && server.isComplete;
      })
    );
    await until(() => this.client.isUsable);
  }

  /** Keeps some turns, each of which must be found again. */
  async putMany(): Promise<string[]> {
    const ids = Array.from({ length: 20 }, (_, i) => `t${i}`);
    for (const id of ids) expect(await this.put(id)).toEqual(true);
    return ids;
  }

  async findMany(ids: string[]): Promise<void> {
    for (const id of ids) expect(await this.find(id)).toEqual("found");
  }

  deadline(): number {
    return this.#scope.steady() + 3_000;
  }

  async put(id: string): Promise<boolean> {
    const prompt = Buffer.from(`prompt of ${id}`);
    return await this.client.put(
      { id, prompt, upstream: "u1", tokens: 1 },
      { keepMs: KEEP_MS, deadlineMs: this.deadline() },
    );
  }

  async find(id: string): Promise<string> {
    return (await this.client.find(id, this.deadline())).kind;
  }

  async close(): Promise<void> {
    this.client.close();
    for (const host of this.hosts.keys()) this.stop(host);
    this.#scope.end();
    for (const folder of this.#folders) {
      await rm(folder, { recursive: true, force: true });
    }
  }

  async #run(
    host: string,
    opts: {
      id: string;
      folder: string;
      address: string;
      isFirstStart: boolean;
    },
  ): Promise<void> {
    const scope = createTimerScope(createSystemTimer());
    const self: HostEntry = {
      id: opts.id,
      host,
      role: "turn_store",
      linkAddress: opts.address,
      callerAddress: null,
      dataCentre: "a",
    };
    const log = loggers("fleet");
    const fleet = new Fleet({ self, store: this.store, timer: scope, log });
    fleet.onView((view) => this.client.takeView(view));
    const server = new TurnStoreServer({
      self,
      fleet,
      folder: opts.folder,
      maxBytes: 50_000_000,
      isFirstStart: opts.isFirstStart,
      tolerate: 1,
      retiring: () => this.retiring,
      onRetired: (it) => this.retired.add(it),
      timer: scope,
      loggers,
      metrics: createSilentMetrics(),
    });
    await server.start();
    fleet.start();
    this.hosts.set(host, {
      server,
      fleet,
      scope,
      folder: opts.folder,
      address: opts.address,
    });
  }
}

async function until(isDone: () => boolean): Promise<void> {
  const endAt = Date.now() + LIMIT_MS;
  while (!isDone()) {
    if (Date.now() > endAt) throw new Error("it does not come to pass");
    await new Promise((resolve) => setTimeout(resolve, STEP_MS));
  }
}

async function freeAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return `127.0.0.1:${port}`;
}

let stores: Stores;

beforeEach(async () => {
  stores = new Stores();
  for (const host of ["a", "b", "c"]) await stores.start(host);
  await stores.settled(["a", "b", "c"], 1);
});

afterEach(() => stores.close());

describe("turn stores", () => {
  it("keep and find turns while one of them is away", async () => {
    expect(await stores.put("t1")).toEqual(true);
    stores.stop("a");
    expect(await stores.find("t1")).toEqual("found");
    expect(await stores.put("t2")).toEqual(true);
    expect(await stores.find("t3")).toEqual("absent");
  });

  it("deny nothing while two of them are away", async () => {
    stores.stop("a");
    stores.stop("b");
    expect(await stores.find("t1")).toEqual("unknown");
    expect(await stores.put("t2")).toEqual(false);
  });

  it("find a turn that is asked for while all of them restart", async () => {
    const ids = await stores.putMany();
    for (const host of ["a", "b", "c"]) stores.stop(host);
    await until(() => !stores.client.isUsable);
    const found = stores.find(ids[3]!);
    for (const host of ["a", "b", "c"]) await stores.restart(host);
    expect(await found).toEqual("found");
    await stores.findMany(ids);
  });

  it("take a host whose disk was emptied for another one", async () => {
    const ids = await stores.putMany();
    stores.stop("a");
    await stores.startEmptied("a");
    await stores.settled(["a", "b", "c"], 2);
    stores.stop("b");
    await stores.findMany(ids);
  });

  it("lose nothing when one disk after the other is emptied", async () => {
    const ids = await stores.putMany();
    for (const [i, host] of ["a", "b", "c"].entries()) {
      stores.stop(host);
      await stores.startEmptied(host);
      await stores.settled(["a", "b", "c"], i + 2);
    }
    await stores.findMany(ids);
  });

  it("empty a host on request, after which others may be lost", async () => {
    await stores.start("d", false);
    await stores.settled(["a", "b", "c", "d"], 2);
    const ids = await stores.putMany();
    stores.retiring.push("a");
    await stores.settled(["b", "c", "d"], 3);
    await until(() => stores.retired.has("a"));
    stores.stop("a");
    stores.stop("b");
    await stores.findMany(ids);
  });

  it("replace a host that is gone by a new one", async () => {
    const ids = await stores.putMany();
    stores.stop("a");
    await stores.start("d", false);
    await stores.settled(["b", "c", "d"], 2);
    stores.stop("b");
    await stores.findMany(ids);
  });
});

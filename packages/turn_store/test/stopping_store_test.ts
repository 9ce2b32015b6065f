import { MemoryStore } from "@toucantrestle/config_store";
import { Fleet, type HostEntry } from "@toucantrestle/fleet";
import { LinkClient } from "@toucantrestle/link";
import { createNoopLoggers } from "@toucantrestle/log";
import { createNoopMetrics } from "@toucantrestle/metrics";
import { createSystemTimer, createTimerScope } from "@toucantrestle/timer";
import { writeState } from "@toucantrestle/turn_journal";
import { expect } from "earl";
import { mkdtemp, rm } from "node:fs/promises";
import { type AddressInfo, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import type { StoreMethods, StoreNotices } from "../src/messages.ts";
import { openStoreDisk, TurnStoreServer } from "../src/mod.ts";

const loggers = createNoopLoggers();
const KEEP_MS = 60_000;
const REPLY_TIMEOUT_MS = 4_000;
const GRACE_MS = 4_000;
const POLL_MS = 5;
const PUTS = 50;
/** The view of the store, of which it is the only reachable member. */
const VIEW = { number: 1, tolerate: 0, former: [] };

type PutReply = StoreMethods["put"]["result"]["status"];

const scope = createTimerScope(createSystemTimer());
let folder: string;
let self: HostEntry;
let server: TurnStoreServer;
let link: LinkClient<StoreMethods, StoreNotices>;

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), "turns-"));
  await writeState(folder, { id: "a" });
  self = {
    id: "a",
    host: "a",
    role: "turn_store",
    linkAddress: await findFreeAddress(),
    callerAddress: null,
    dataCentre: "a",
  };
  server = await startServer();
  server.adoptView({
    ...VIEW,
    members: [{
      id: "a",
      host: "a",
      address: self.linkAddress,
      dataCentre: "a",
    }],
  });
  link = new LinkClient({
    self: "front",
    address: self.linkAddress,
    timer: scope,
    log: loggers("link"),
  });
  while (!link.isOpen || await put("warm") !== "ok") await delay(POLL_MS);
});

afterEach(async () => {
  link.close();
  server.close();
  await rm(folder, { recursive: true, force: true, maxRetries: 5 });
});

after(() => scope.end());

async function startServer(): Promise<TurnStoreServer> {
  const disk = await openStoreDisk({
    folder,
    maxBytes: 50_000_000,
    maxSetAsideBytes: 0,
    timer: scope,
    log: loggers("journal"),
  });
  const started = new TurnStoreServer({
    self,
    fleet: new Fleet({
      self,
      store: new MemoryStore(),
      timer: scope,
      log: loggers("fleet"),
    }),
    disk,
    isFirstStart: false,
    tolerate: 0,
    listRetiringHosts: () => [],
    onHostRetired() {},
    timer: scope,
    loggers,
    metrics: createNoopMetrics(),
  });
  await started.start();
  return started;
}

async function findFreeAddress(): Promise<string> {
  const probe = createServer();
  await new Promise<void>((resolve) => probe.listen(0, "127.0.0.1", resolve));
  const { port } = probe.address() as AddressInfo;
  await new Promise((resolve) => probe.close(resolve));
  return `127.0.0.1:${port}`;
}

/** Returns the status of the reply; "lost" if there was none. */
async function put(id: string): Promise<PutReply | "lost"> {
  const turn = { id, prompt: Buffer.from(id), upstream: "u", tokens: 1 };
  const args = { viewNumber: VIEW.number, turn, keepMs: KEEP_MS };
  try {
    return (await link.request("put", args, REPLY_TIMEOUT_MS)).status;
  } catch {
    return "lost";
  }
}

async function find(id: string): Promise<boolean> {
  const args = { viewNumber: VIEW.number, id };
  const reply = await link.request("find", args, REPLY_TIMEOUT_MS);
  return reply.status === "ok" && reply.turn !== undefined;
}

describe("turn store that stops", () => {
  // Guards against LOST: replies that ended with the process of the store.
  it("replies to what it has taken on, and keeps it", async () => {
    const ids = Array.from({ length: PUTS }, (_, i) => `t${i}`);
    const replies = ids.map(put);
    // The first reply shows that the store is at work on the others.
    await Promise.race(replies);
    const stopped = server.stop(GRACE_MS);
    const statuses = await Promise.all(replies);
    expect(statuses.filter((it) => it === "lost")).toEqual([]);
    await stopped;
    server = await startServer();
    while (!link.isOpen) await delay(POLL_MS);
    const kept = ids.filter((_, i) => statuses[i] === "ok");
    for (const id of kept) expect(await find(id)).toEqual(true);
    expect(kept.length).toBeGreaterThan(0);
  });

  it("refuses at once what comes later", async () => {
    const stopped = server.stop(GRACE_MS);
    expect(await put("late")).toEqual("copying");
    await stopped;
  });

  // Guards against a second signal that cuts the stop short.
  it("stops once, however often it is asked to", async () => {
    const first = server.stop(GRACE_MS);
    expect(server.stop(GRACE_MS) === first).toEqual(true);
    expect(await put("late")).toEqual("copying");
    await first;
  });
});

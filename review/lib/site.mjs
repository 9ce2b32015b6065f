// A small installation: store, workers, fronts and stores of turns, and the
// operator's first configuration.
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Deployment, nextIp, sleep } from "./product.mjs";
import { openRecord } from "./record.mjs";
import { Store } from "./store.mjs";
import { Worker } from "./worker.mjs";

export const HOST = "ficu95.example";

const ROUTE = {
  host: HOST,
  timeoutMs: 5000,
  targetLatencyMs: 250,
  priority: 1,
  maxAttempts: 1,
  sticky: false,
};

export const CONFIG = {
  version: 3,
  routes: [
    {
      ...ROUTE,
      name: "kept",
      prefix: "/kept/",
      kind: "streaming",
      service: "models",
      sticky: true,
      gapAimMs: 400,
      retainContext: true,
      retentionS: 60,
      resumable: false,
    },
    {
      ...ROUTE,
      name: "plain-stream",
      prefix: "/stream/",
      kind: "streaming",
      service: "models",
      sticky: true,
      gapAimMs: 400,
      retentionS: 60,
      resumable: true,
    },
    {
      ...ROUTE,
      name: "lookup",
      prefix: "/lookup/",
      kind: "idempotent",
      service: "accounts",
      timeoutMs: 5000,
      maxAttempts: 2,
    },
    {
      ...ROUTE,
      name: "order",
      prefix: "/order/",
      kind: "non_idempotent",
      service: "accounts",
      timeoutMs: 5000,
    },
  ],
  services: [
    {
      name: "models",
      healthPath: "/health",
      maxConns: 370,
      engine: { slots: 64, kvCapacity: 244287, tokensPerEvent: 8 },
    },
    { name: "accounts", healthPath: "/health", maxConns: 110 },
  ],
  limits: {
    maxHeaderBytes: 16384,
    maxBodyBytes: 4194304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
  },
};

const MAX_RUN_MS = 115_000;

/** Runs a case and exits with its result: 1 broken, 0 held, 2 could not run. */
export async function runCase(url, options, play) {
  const folder = fileURLToPath(new URL(".", url));
  const record = openRecord(join(folder, "record.txt"));
  for (const signal of ["SIGINT", "SIGTERM"]) {
    process.on(signal, () => process.exit(2));
  }
  setTimeout(() => {
    record("could not run: it takes too long");
    process.exit(2);
  }, MAX_RUN_MS).unref();
  const hasTrouble = process.env.TROUBLE !== "0";
  record(`disturbance: ${hasTrouble ? "yes" : "no"}`);
  let site;
  let status = 2;
  try {
    site = await createSite(record, options);
    const broken = await play({ ...site, record, hasTrouble });
    record(broken ? `RULE BROKEN: ${broken}` : "rule held");
    status = broken ? 1 : 0;
  } catch (err) {
    record(`could not run: ${err?.stack ?? err}`);
  }
  if (process.env.KEEP_LOGS && site) {
    for (const it of site.deployment.machines) {
      process.stderr.write(`== ${it.name}\n${it.log()}`);
    }
  }
  await site?.close();
  process.exit(status);
}

async function createSite(
  record,
  {
    fronts = 2,
    stores = 4,
    models = 2,
    accounts = 2,
    config = CONFIG,
    workerOptions = {},
    bounds = {},
    /** Gives each front a way of its own to each worker, which can be cut. */
    hasOwnWays = false,
  } = {},
) {
  const store = new Store();
  const storeAddress = await store.listen(nextIp());
  store.put("op/config", config);
  const deployment = new Deployment({ storeAddress, record, bounds });
  const workers = { models: [], accounts: [] };
  const site = {
    store,
    deployment,
    workers,
    fronts: [],
    turnStores: [],
    async close() {
      await deployment.close();
      for (const it of [...workers.models, ...workers.accounts]) it.stop();
      store.close();
    },
  };
  try {
    for (
      const [service, count] of [["models", models], ["accounts", accounts]]
    ) {
      for (let i = 1; i <= count; i++) {
        const id = `i-${service}-${i}`;
        const worker = new Worker({
          id,
          service,
          ip: nextIp(),
          store,
          record,
          ...workerOptions,
        });
        await worker.start();
        workers[service].push(worker);
      }
    }
    for (let i = 1; i <= fronts; i++) {
      site.fronts.push(
        await deployment.add({ name: `front-${i}`, role: "front" }),
      );
    }
    if (hasOwnWays) {
      for (const it of site.fronts) await openWays(it, site);
    }
    for (let i = 1; i <= stores; i++) {
      site.turnStores.push(
        await deployment.add({ name: `storage-${i}`, role: "storage" }),
      );
    }
    for (const it of deployment.machines) it.start();
    for (const it of site.fronts) await it.waitReady();
    await sleep(1_500);
    record("installation is ready");
  } catch (err) {
    await site.close();
    throw err;
  }
  return site;
}

/** Gives a front ways of its own to all workers. */
async function openWays(front, { store, workers }) {
  const ways = new Map();
  for (const worker of [...workers.models, ...workers.accounts]) {
    ways.set(worker.id, await worker.openWay(nextIp()));
  }
  front.storeAddress = await store.listenFor(
    nextIp(),
    (id) => ways.get(id).address,
  );
  front.cutFromWorkers = () => ways.forEach((it) => it.cut());
  front.reconnectToWorkers = async () => {
    for (const it of ways.values()) await it.restore();
  };
}

// Runs one case: exit status 1 if the rule was broken, 0 if it held, 2 if the
// case could not run.
import { appendFileSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Deployment } from "./deployment.mjs";
import { Store } from "./store.mjs";
import { Worker } from "./worker.mjs";

const LIMIT_MS = 115_000;

export async function runCase(url, { net, ...opts }, body) {
  const file = join(dirname(fileURLToPath(url)), "record.txt");
  const isTrouble = process.env.TROUBLE !== "0";
  const startedAt = Date.now();
  writeFileSync(file, "");
  const record = (line) => {
    const s = ((Date.now() - startedAt) / 1_000).toFixed(3);
    appendFileSync(file, `${s} ${line}\n`);
  };
  record(`trouble=${isTrouble}`);
  const store = new Store();
  const workers = [];
  let deployment;
  let status = 2;
  const limit = new Promise((_, fail) =>
    setTimeout(() => fail(new Error("out of time")), LIMIT_MS).unref()
  );
  try {
    await store.listen(`127.0.${net}.200`);
    deployment = new Deployment({ store, net, ...opts });
    const addWorker = async (it) => {
      const worker = new Worker({
        store,
        host: `127.0.${net}.${100 + workers.length}`,
        ...it,
      });
      workers.push(worker);
      await worker.start();
      return worker;
    };
    const run = body({
      deployment,
      store,
      record,
      addWorker,
      workers,
      isTrouble,
    });
    const { isBroken, couldRun = true } = await Promise.race([run, limit]);
    if (isBroken) status = 1;
    else if (couldRun) status = 0;
  } catch (err) {
    record(`could not run: ${err?.stack ?? err}`);
  }
  record(`exit ${status}`);
  if (process.env.KEEP_LOGS && deployment) {
    for (const host of deployment.hosts.values()) {
      writeFileSync(
        join(process.env.KEEP_LOGS, `${host.name}.log`),
        deployment.log(host),
      );
    }
  }
  await deployment?.close();
  for (const worker of workers) worker.close();
  store.close();
  process.exit(status);
}

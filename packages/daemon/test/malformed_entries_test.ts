import { expect } from "earl";
import { Buffer } from "node:buffer";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { after, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { prepareDaemon, type StartedDaemon } from "./daemon_process.ts";

const CONCURRENTLY = { concurrency: 3 };
/** Longer than until all that the daemon does regularly is done once. */
const SURVIVAL_MS = 1_500;
const PREFIX = "/toucantrestle/meta/";

/** Malformed values by the key of their entry. */
const MALFORMED: Record<string, string[]> = {
  "hosts/x": ["", "text", "null", "{}", '{"runId":"x","siblingAddress":5}'],
  "shards/00": ["null", "{}", '{"shard":0,"epoch":1,"owner":null}'],
  "keys/x": ["null", "7"],
  "convictions/x": ["null", "{}"],
  "table": ["null", "{}", '{"revision":1,"rows":[null]}'],
};

const daemons: StartedDaemon[] = [];
const services: Server[] = [];

after(async () => {
  for (const it of daemons) it.signal("SIGKILL");
  await Promise.all(daemons.map((it) => it.exited));
  for (const it of services) {
    it.closeAllConnections();
    it.close();
  }
});

/** Starts a key-value service that has one entry and rejects all writes. */
async function startService(key: string, value: string): Promise<string> {
  const encode = (text: string) => Buffer.from(text).toString("base64");
  const kv = {
    key: encode(PREFIX + key),
    value: encode(value),
    mod_revision: "5",
  };
  const listing = JSON.stringify({ header: { revision: "5" }, kvs: [kv] });
  const service = createServer((req, res) => {
    req.resume();
    if (req.url === "/v3/kv/range") res.end(listing);
    else res.writeHead(503).end();
  });
  services.push(service);
  await new Promise<void>((resolve) => service.listen(0, "127.0.0.1", resolve));
  return `http://127.0.0.1:${(service.address() as AddressInfo).port}`;
}

describe(
  "daemon whose key-value service has an entry of others",
  CONCURRENTLY,
  () => {
    for (const [key, values] of Object.entries(MALFORMED)) {
      for (const value of values) {
        // Guards against one entry that ends the process of each daemon.
        it(`goes on, and ignores it: ${key} ${value}`, async () => {
          const url = await startService(key, value);
          const daemon = await prepareDaemon({ flags: { "store-url": url } });
          daemons.push(daemon);
          daemon.start();
          expect(await daemon.serves()).toEqual(true);
          await Promise.race([daemon.exited, delay(SURVIVAL_MS)]);
          expect(daemon.end).toEqual(undefined);
          expect(daemon.text.includes("error that nothing handles"))
            .toEqual(false);
          expect(daemon.text.includes(`${PREFIX}${key} is malformed`))
            .toEqual(true);
        });
      }
    }
  },
);

import { Daemon, type DaemonSettings } from "@toucantrestle/daemon";
import { createNoopLoggers } from "@toucantrestle/log";
import { MemoryHolders } from "@toucantrestle/memory";
import { createNoopMetrics } from "@toucantrestle/metrics";
import {
  failToAccept,
  findFreePorts,
  findServer,
  sendNoise,
} from "@toucantrestle/stand_ins";
import { createSystemTimer, createTimerScope } from "@toucantrestle/timer";
import { expect } from "earl";
import { describe, it } from "node:test";
import { generate } from "selfsigned";

/** Creates a daemon whose key-value service is unreachable. */
async function createDaemon({ isTls }: { isTls: boolean }) {
  const ports = await findFreePorts(2);
  const [listen = "", siblingListen = ""] = ports.map((it) =>
    `127.0.0.1:${it}`
  );
  const cfg: DaemonSettings = {
    host: "a",
    dataCentre: "dc",
    listen,
    siblingListen,
    storeUrl: "http://127.0.0.1:1",
    siblingKey: "sibling-key",
    siblings: "",
    tailCopies: 0,
    tailLimitMb: 1,
    flushMs: 1_000,
    storeTimeoutMs: 1_000,
    leaseTtlS: 3,
    maxBodyMb: 1,
    logFormat: "json",
    logLevel: "info",
    allowFaults: false,
  };
  const pems = await generate([{ name: "commonName", value: "a" }], {
    extensions: [{ name: "basicConstraints", cA: true }],
  });
  const http = { cert: pems.cert, key: pems.private };
  const siblings = { ...http, ca: pems.cert };
  const timer = createTimerScope(createSystemTimer());
  const daemon = new Daemon(cfg, {
    timer,
    logs: createNoopLoggers(),
    metrics: createNoopMetrics(),
    holders: new MemoryHolders(),
    tls: isTls ? { http, siblings, watch() {} } : undefined,
  });
  const clientTls = isTls ? http : undefined;
  return { daemon, timer, clientTls, addresses: [listen, siblingListen] };
}

describe("servers of a daemon", () => {
  for (const isTls of [false, true]) {
    // Guards against a daemon that ends because it cannot accept a connection.
    it(`go on after errors${isTls ? " with TLS" : ""}`, async () => {
      const { daemon, timer, clientTls, addresses } = await createDaemon({
        isTls,
      });
      await daemon.start();
      for (const address of addresses) {
        failToAccept(await findServer(address, clientTls));
        await sendNoise(address);
        const server = await findServer(address, clientTls);
        expect(server.listening).toEqual(true);
      }
      await daemon.stop();
      timer.end();
    });
  }
});

// A small deployment: the programs of deploy/system.toml as separate processes
// on loopback addresses, each with a settings file of the platform.
import { spawn } from "node:child_process";
import {
  closeSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";

export const ROOT = dirname(dirname(dirname(fileURLToPath(import.meta.url))));

/** Command of a role as the deploy file has it. */
function commandOf(role) {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const runs = [...text.matchAll(/^run = "(.*)"$/gm)].map((it) =>
    it[1].split(" ")
  );
  return runs.find((it) => it.at(-1) === role);
}

export class Deployment {
  hosts = new Map();

  /** `net` is the third number of the loopback addresses 127.0.net.x. */
  constructor({ store, net, tolerate = 1, bounds = {} }) {
    this.store = store;
    this.net = net;
    this.tolerate = tolerate;
    this.bounds = {
      stableWindowMs: 3000,
      ackMs: 4000,
      catchUpS: 4.3,
      drainMs: 2000,
      graceS: 8,
      lossSlackMs: 200,
      configApplyMs: 2000,
      downgradeSlackMs: 250,
      outerMs: 5000,
      recoverS: 12,
      passMs: 120,
      ttl_max_s: 5,
      ...bounds,
    };
    this.folder = mkdtempSync(join(tmpdir(), "review-"));
  }

  /** Adds a host with free ports; `isFirst` if the whole system starts first. */
  async add(name, role, { zone = "north" } = {}) {
    const ip = `127.0.${this.net}.${this.hosts.size + 1}`;
    const ports = await freePorts(ip, 4);
    const host = {
      name,
      role,
      zone,
      ip,
      ports,
      isFirst: true,
      lives: 0,
      folder: join(this.folder, name),
    };
    mkdirSync(join(host.folder, "data"), { recursive: true });
    host.caller = { host: ip, port: ports[0] };
    this.hosts.set(name, host);
    return host;
  }

  seeds() {
    return [...this.hosts.values()].filter((it) => it.role === "front").slice(
      0,
      3,
    ).map((it) => `${it.ip}:${it.ports[2]}`);
  }

  writeSettings(host) {
    const { name, role, zone, ip, ports, isFirst } = host;
    const isFront = role === "front";
    const settings = {
      node: name,
      role: isFront ? "front" : "turns",
      machineClass: isFront ? "front" : "storage",
      serves: isFront ? ["front", "directory", "control"] : ["storage"],
      ip,
      zone,
      region: "r",
      zones: { north: "r" },
      listen: isFront
        ? {
          front: `${ip}:${ports[0]}`,
          ready: `${ip}:${ports[1]}`,
          control: `${ip}:${ports[2]}`,
          directory: `${ip}:${ports[3]}`,
        }
        : { control: `${ip}:${ports[2]}` },
      portRange: [7380, 7395],
      seeds: this.seeds(),
      bootstrap: isFirst,
      inTolerance: !isFront,
      limits: {
        cpuShare: 0.675,
        cores: 1,
        memoryMb: isFront ? 200 : 220,
        maxFds: 4100,
        linkMbps: 1000,
        diskMb: isFront ? 0 : 350,
      },
      dataDir: isFront ? null : join(host.folder, "data"),
      discovery: "platform",
      entry: "directory",
      beatIntervalMs: 1200,
      contracts: [
        "base",
        "drain",
        "config",
        "cost",
        "recover",
        "agent",
        "stream",
        "engine",
        "platform",
      ],
      tolerate: { machines: this.tolerate, zones: 0, regions: 0 },
      bounds: this.bounds,
      platform: {
        address: this.store.address,
        form: "kv",
        writesPerS: 400,
        readsPerS: 2000,
        historyS: 20,
        valueBytes: 1048576,
        ttlMinMs: 1000,
      },
    };
    host.settingsFile = join(host.folder, "node.yaml");
    writeFileSync(host.settingsFile, JSON.stringify(settings));
  }

  start(host) {
    this.writeSettings(host);
    host.isFirst = false;
    host.lives += 1;
    const [program, ...args] = commandOf(host.role);
    const log = openSync(join(host.folder, "log"), "a");
    host.child = spawn(program, args, {
      cwd: ROOT,
      stdio: ["ignore", log, log],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        TOUCANTRESTLE_NODE_FILE: host.settingsFile,
      },
    });
    closeSync(log);
    host.exited = new Promise((done) =>
      host.child.on("exit", (status, signal) => done({ status, signal }))
    );
  }

  startAll() {
    for (const host of this.hosts.values()) this.start(host);
  }

  async kill(host, signal = "SIGKILL") {
    host.child.kill(signal);
    await host.exited;
  }

  fronts() {
    return [...this.hosts.values()].filter((it) => it.role === "front");
  }

  /** Resolves when the fronts are ready; fails after `timeoutMs`. */
  async untilReady(timeoutMs = 20_000, fronts = this.fronts()) {
    const until = Date.now() + timeoutMs;
    for (const host of fronts) {
      while (await readiness(host) !== 200) {
        if (Date.now() > until) throw new Error(`${host.name} is not ready`);
        await delay(50);
      }
    }
  }

  log(host) {
    return readFileSync(join(host.folder, "log"), "utf8");
  }

  async close() {
    for (const { child } of this.hosts.values()) {
      if (!child) continue;
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
    await Promise.all([...this.hosts.values()].map((it) => it.exited));
    rmSync(this.folder, { recursive: true, maxRetries: 5 });
  }
}

function readiness({ ip, ports }) {
  return new Promise((done) => {
    const req = request({
      host: ip,
      port: ports[1],
      path: "/v1/readiness",
      agent: false,
    }, (res) => {
      res.resume();
      done(res.statusCode);
    });
    req.setTimeout(1_000, () => req.destroy());
    req.on("error", () => done(0));
    req.end();
  });
}

async function freePorts(ip, count) {
  const servers = [];
  for (let i = 0; i < count; i++) {
    const server = createServer();
    await new Promise((done) => server.listen(0, ip, done));
    servers.push(server);
  }
  const ports = servers.map((it) => it.address().port);
  await Promise.all(servers.map((it) => new Promise((done) => it.close(done))));
  return ports;
}

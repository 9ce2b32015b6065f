// Starts the product's roles with the commands of the deploy file, each as a
// process of its own on a loopback address of its own.
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
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = fileURLToPath(new URL("../../", import.meta.url));

/** The `run` line and class of each role in the deploy file. */
function readRoles() {
  const roles = {};
  let role;
  for (
    const line of readFileSync(join(ROOT, "deploy/system.toml"), "utf8").split(
      "\n",
    )
  ) {
    const section = /^\[roles\.([\w-]+)\]/.exec(line);
    if (section) role = roles[section[1]] = {};
    const field = /^(run|on) = "(.*)"/.exec(line);
    if (role && field) role[field[1]] = field[2];
  }
  return roles;
}

let nextHost = 0;
const NET = `127.${20 + Math.floor(Math.random() * 200)}.${
  Math.floor(Math.random() * 250)
}`;

/** Returns a loopback address that nothing in this run uses yet. */
export function nextIp() {
  nextHost += 1;
  return `${NET}.${nextHost}`;
}

export async function freePort(ip) {
  const server = createServer();
  await new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, ip, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Settings of a small installation (austral-intereses). */
const DEFAULTS = {
  tolerate: 1,
  bounds: {
    seedLagS: 3,
    reuseAfterS: 2,
    stableWindowMs: 3000,
    ackMs: 4000,
    catchUpS: 4.2,
    drainMs: 2000,
    graceS: 8,
    lossSlackMs: 200,
    configApplyMs: 2000,
    downgradeSlackMs: 250,
    outerMs: 5000,
    recoverS: 12,
    passMs: 120,
    retryAfterS: 0,
    finishS: 10,
    settleMs: 1000,
    ttl_max_s: 5,
  },
};

export class Deployment {
  constructor({ storeAddress, record, bounds = {} }) {
    this.storeAddress = storeAddress;
    this.bounds = bounds;
    this.record = record;
    this.folder = mkdtempSync(join(tmpdir(), "review-"));
    this.machines = [];
    // Nothing that was started outlives the script, however it ends.
    process.on("exit", () => {
      for (const { child } of this.machines) child?.kill("SIGKILL");
    });
  }

  async add({ name, role, zone = "sala-norte" }) {
    const ip = nextIp();
    const machine = new Machine({ name, role, zone, ip, deployment: this });
    for (const what of ["front", "ready", "control", "directory"]) {
      let port;
      do port = await freePort(ip); while (
        Object.values(machine.ports).includes(port)
      );
      machine.ports[what] = port;
    }
    this.machines.push(machine);
    return machine;
  }

  get seeds() {
    return this.machines.filter((it) => it.role === "front").slice(0, 3)
      .map((it) => `${it.ip}:${it.ports.control}`);
  }

  async close() {
    for (const machine of this.machines) await machine.kill();
    rmSync(this.folder, { recursive: true, force: true, maxRetries: 5 });
  }
}

class Machine {
  ports = {};
  starts = 0;
  /** Ends that no one asked for. */
  ownEnds = [];
  #isEndWanted = false;

  constructor({ name, role, zone, ip, deployment }) {
    Object.assign(this, { name, role, zone, ip, deployment });
    this.folder = join(deployment.folder, name);
    mkdirSync(join(this.folder, "data"), { recursive: true });
    this.logFile = join(this.folder, "log");
  }

  get frontAddress() {
    return `${this.ip}:${this.ports.front}`;
  }

  start({ bootstrap = this.starts === 0 } = {}) {
    const { ip, ports, zone, name, deployment } = this;
    const roles = readRoles();
    const command = (this.role === "front" ? roles.front : roles.turns).run;
    const settings = {
      node: name,
      role: this.role === "front" ? "front" : "turns",
      machineClass: this.role,
      serves: this.role === "front"
        ? ["front", "directory", "control"]
        : ["storage"],
      ip,
      zone,
      region: "santiago",
      zones: { "sala-norte": "santiago", "sala-sur": "santiago" },
      listen: this.role === "front"
        ? Object.fromEntries(
          Object.entries(ports).map(([k, p]) => [k, `${ip}:${p}`]),
        )
        : {},
      portRange: [7380, 7395],
      seeds: deployment.seeds,
      bootstrap,
      inTolerance: this.role !== "front",
      limits: {
        cpuShare: 0.675,
        cores: 1,
        memoryMb: this.role === "front" ? 200 : 210,
        maxFds: 4100,
        linkMbps: 1000,
        diskMb: this.role === "front" ? 0 : 310,
      },
      dataDir: this.role === "front" ? null : join(this.folder, "data"),
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
      tolerate: { machines: DEFAULTS.tolerate, zones: 0, regions: 0 },
      bounds: { ...DEFAULTS.bounds, ...deployment.bounds },
      platform: {
        address: this.storeAddress ?? deployment.storeAddress,
        form: "kv",
        writesPerS: 400,
        readsPerS: 2000,
        historyS: 20,
        valueBytes: 1048576,
        ttlMinMs: 1000,
      },
    };
    const file = join(this.folder, "node.yaml");
    writeFileSync(file, JSON.stringify(settings, null, 1)); // JSON is YAML
    const [program, ...args] = command.split(" ");
    const { PATH, HOME, LANG } = process.env;
    const log = openSync(this.logFile, "a");
    this.starts += 1;
    this.#isEndWanted = false;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, TOUCANTRESTLE_NODE_FILE: file },
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    this.child = child;
    this.exited = new Promise((resolve) =>
      child.on("exit", (code, signal) => {
        deployment.record(
          `${name}: process ended, code ${code}, signal ${signal}`,
        );
        if (!this.#isEndWanted) this.ownEnds.push({ code, signal });
        this.child = undefined;
        resolve();
      })
    );
    deployment.record(`${name}: ${this.role} started`);
  }

  signal(name) {
    if (name !== "SIGSTOP" && name !== "SIGCONT") this.#isEndWanted = true;
    this.deployment.record(`${this.name}: ${name}`);
    this.child?.kill(name);
  }

  async kill() {
    if (!this.child) return;
    this.#isEndWanted = true;
    this.child.kill("SIGCONT");
    this.child.kill("SIGKILL");
    await this.exited;
  }

  log() {
    return readFileSync(this.logFile, "utf8");
  }

  async isReady() {
    try {
      const res = await fetch(
        `http://${this.ip}:${this.ports.ready}/v1/readiness`,
      );
      await res.text();
      return res.status === 200;
    } catch {
      return false;
    }
  }

  async waitReady(timeoutMs = 15_000) {
    const until = performance.now() + timeoutMs;
    while (!await this.isReady()) {
      if (performance.now() > until) {
        throw new Error(`${this.name} is not ready`);
      }
      await sleep(100);
    }
  }
}

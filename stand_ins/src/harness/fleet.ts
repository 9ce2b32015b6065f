import { createRequire } from "node:module";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { findFreePorts } from "./ports.ts";
import { type ManagedProcess, startProcess } from "./process.ts";

/** Describes an upstream stand-in to start. */
export interface UpstreamSpec {
  name: string;
  kind: "engine" | "service";
  dataCentre: string;
  /** Models of an engine, or routes of a service. */
  serves: string[];
  /** Concurrent calls; for an engine also its maximum batch size. */
  capacity: number;
  /** Additional flags for the stand-in. */
  args?: string[];
}

/** Describes a daemon to start. */
export interface DaemonSpec {
  host: string;
  dataCentre: string;
  /** Additional flags for the daemon. */
  args?: string[];
  /** Flags for Node.js itself, for example for profiling. */
  nodeArgs?: string[];
}

/** Describes the processes of a fleet. */
export interface FleetSpec {
  daemons: DaemonSpec[];
  upstreams: UpstreamSpec[];
  /** Folder for one log file per process; undefined discards the logs. */
  logFolder?: string;
  /** Additional flags for the stand-in of the key-value service. */
  storeArgs?: string[];
  /** Additional flags for every daemon. */
  daemonArgs?: string[];
}

/** A process of the fleet and its loopback address. */
export interface FleetProcess {
  name: string;
  address: string;
  process: ManagedProcess;
}

/** A daemon process of the fleet. */
export interface DaemonProcess extends FleetProcess {
  dataCentre: string;
  /** Address on which the daemon listens for connections of other daemons. */
  siblingAddress: string;
}

const HEALTH_POLL_MS = 25;
const HEALTH_TIMEOUT_MS = 20_000;

/**
 * Operator API key that the harness passes to daemons as their bootstrap key.
 */
export const OPERATOR_KEY = "harness-operator-key";

const SIBLING_KEY = "harness-sibling-key";
const STAND_IN_FOLDERS = {
  store: "config_store",
  hosts: "host_list",
  weights: "weight_store",
  engine: "engine",
  service: "service",
} as const;

/**
 * Starts, restarts and stops daemons and stand-ins as processes on loopback.
 */
export class Fleet {
  readonly daemons = new Map<string, DaemonProcess>();
  readonly upstreams = new Map<string, FleetProcess>();
  readonly #spec: FleetSpec;
  #ports: number[] = [];
  #store: FleetProcess | undefined;
  #hostList: FleetProcess | undefined;
  #weightStore: FleetProcess | undefined;

  constructor(spec: FleetSpec) {
    this.#spec = spec;
  }

  /**
   * Starts all processes, waits until each is healthy and registers the hosts.
   */
  async start(): Promise<void> {
    const { daemons, upstreams } = this.#spec;
    this.#ports = await findFreePorts(
      3 + upstreams.length + 2 * daemons.length,
    );
    this.#store = this.#startStandIn(
      "store",
      "store",
      this.#spec.storeArgs ?? [],
    );
    this.#hostList = this.#startStandIn("hosts", "hosts", []);
    this.#weightStore = this.#startStandIn("weights", "weights", []);
    await Promise.all(
      [this.#store, this.#hostList, this.#weightStore].map(waitUntilHealthy),
    );
    for (const spec of upstreams) this.startUpstream(spec);
    for (const spec of daemons) this.startDaemon(spec);
    await Promise.all(
      [...this.upstreams.values(), ...this.daemons.values()]
        .map(waitUntilHealthy),
    );
    await this.#registerHosts();
  }

  get storeUrl(): string {
    return `http://${this.#store?.address}`;
  }

  get hostListUrl(): string {
    return `http://${this.#hostList?.address}`;
  }

  get weightStoreUrl(): string {
    return `http://${this.#weightStore?.address}`;
  }

  /** Starts an upstream; reuses its address if it was started before. */
  startUpstream(spec: UpstreamSpec): FleetProcess {
    const previous = this.upstreams.get(spec.name);
    const args = [...(spec.args ?? [])];
    if (spec.kind === "engine") {
      args.push("--models", spec.serves.join(","));
      args.push("--max-batch", String(spec.capacity));
      args.push("--weight-store-url", this.weightStoreUrl);
    }
    const upstream = this.#startStandIn(
      spec.kind,
      spec.name,
      args,
      previous?.address,
    );
    this.upstreams.set(spec.name, upstream);
    return upstream;
  }

  /** Restarts an upstream of the spec. Its previous process must have ended. */
  restartUpstream(name: string): FleetProcess {
    const spec = this.#spec.upstreams.find((it) => it.name === name);
    if (!spec) throw new Error(`unknown upstream ${name}`);
    return this.startUpstream(spec);
  }

  /** Starts a daemon; reuses its addresses if it was started before. */
  startDaemon(spec: DaemonSpec): DaemonProcess {
    const previous = this.daemons.get(spec.host);
    const address = previous?.address ?? `127.0.0.1:${this.#ports.pop()}`;
    const siblingAddress = previous?.siblingAddress ??
      `127.0.0.1:${this.#ports.pop()}`;
    const args = [
      ...["--host", spec.host],
      ...["--data-centre", spec.dataCentre],
      ...["--listen", address],
      ...["--sibling-listen", siblingAddress],
      ...["--store-url", this.storeUrl],
      ...["--host-list-url", this.hostListUrl],
      "--allow-faults",
      ...(this.#spec.daemonArgs ?? []),
      ...(spec.args ?? []),
    ];
    const daemon: DaemonProcess = {
      name: spec.host,
      dataCentre: spec.dataCentre,
      address,
      siblingAddress,
      process: startProcess({
        name: spec.host,
        script: daemonScript(),
        nodeArgs: spec.nodeArgs ?? [],
        args,
        env: {
          TOUCANTRESTLE_SIBLING_KEY: SIBLING_KEY,
          TOUCANTRESTLE_BOOTSTRAP_KEY: OPERATOR_KEY,
        },
        logFile: this.#logFile(spec.host),
      }),
    };
    this.daemons.set(spec.host, daemon);
    return daemon;
  }

  /**
   * Restarts a daemon of the spec as a new run. Its previous process must have
   * ended.
   */
  restartDaemon(host: string): DaemonProcess {
    const spec = this.#spec.daemons.find((it) => it.host === host);
    if (!spec) throw new Error(`unknown daemon ${host}`);
    return this.startDaemon(spec);
  }

  /**
   * Sets fault switches of the key-value service (`store`) or of an upstream.
   */
  async setFaults(name: string, faults: unknown): Promise<void> {
    await postJson(`http://${this.#standInAddress(name)}/faults`, faults);
  }

  /** Sets the state of a host in the host list. */
  async setHostState(name: string, state: "live" | "leaving"): Promise<void> {
    const entry = this.#hostEntries().find((it) => it.name === name);
    await postJson(`${this.hostListUrl}/hosts`, {
      hosts: [{ ...entry, state }],
    });
  }

  /**
   * Waits until every daemon reports ready, that is, knows an owner for every
   * shard.
   */
  async waitUntilReady(): Promise<void> {
    await Promise.all([...this.daemons.values()].map(waitUntilDaemonReady));
  }

  /** Kills every process and waits until all have exited. */
  async stop(): Promise<void> {
    const hostProcesses = [
      ...this.daemons.values(),
      ...this.upstreams.values(),
    ];
    const platformProcesses = [this.#store, this.#hostList, this.#weightStore]
      .filter((it) => it !== undefined);
    for (const fleetProcess of [...hostProcesses, ...platformProcesses]) {
      fleetProcess.process.signal("SIGKILL");
    }
    await Promise.all(
      [...hostProcesses, ...platformProcesses].map((it) => it.process.exited),
    );
  }

  #standInAddress(name: string): string | undefined {
    if (name === "store") return this.#store?.address;
    return this.upstreams.get(name)?.address;
  }

  #startStandIn(
    script: keyof typeof STAND_IN_FOLDERS,
    name: string,
    args: string[],
    previousAddress?: string,
  ): FleetProcess {
    const port = previousAddress?.split(":")[1] ?? String(this.#ports.pop());
    return {
      name,
      address: `127.0.0.1:${port}`,
      process: startProcess({
        name,
        script: standInScript(STAND_IN_FOLDERS[script]),
        args: ["--port", port, ...args],
        logFile: this.#logFile(name),
      }),
    };
  }

  #logFile(name: string): string | undefined {
    const { logFolder } = this.#spec;
    return logFolder === undefined ? undefined : join(logFolder, `${name}.log`);
  }

  #hostEntries() {
    const entries = [...this.daemons.values()].map((it) => ({
      name: it.name,
      kind: "entry",
      dataCentre: it.dataCentre,
      siblingAddress: it.siblingAddress,
    }));
    const upstreams = this.#spec.upstreams.map((it) => ({
      name: it.name,
      kind: it.kind,
      dataCentre: it.dataCentre,
    }));
    return [...entries, ...upstreams];
  }

  async #registerHosts(): Promise<void> {
    const hosts = this.#hostEntries().map((it) => ({ ...it, state: "live" }));
    await postJson(`${this.hostListUrl}/hosts`, { hosts });
  }
}

/** Sends a JSON body by POST and returns the parsed JSON response. */
export async function postJson(url: string, body: unknown): Promise<unknown> {
  const res = await fetch(url, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
  });
  return await res.json();
}

/** Waits until a process responds on `/health`. */
export async function waitUntilHealthy(
  fleetProcess: FleetProcess,
): Promise<void> {
  await pollHealth(fleetProcess, () => true);
}

/**
 * Waits until a daemon reports ready, that is, knows an owner for every shard.
 */
export async function waitUntilDaemonReady(
  daemon: DaemonProcess,
): Promise<void> {
  await pollHealth(daemon, (health) => health.ready === true);
}

async function pollHealth(
  fleetProcess: FleetProcess,
  isDone: (health: { ready?: boolean }) => boolean,
): Promise<void> {
  const deadline = Date.now() + HEALTH_TIMEOUT_MS;
  while (Date.now() < deadline) {
    const health = await fetch(`http://${fleetProcess.address}/health`)
      .then((res) => res.json() as Promise<{ ready?: boolean }>)
      .catch(() => undefined);
    if (health && isDone(health)) return;
    await new Promise((resolve) => setTimeout(resolve, HEALTH_POLL_MS));
  }
  throw new Error(
    `${fleetProcess.name} was not ready within ${HEALTH_TIMEOUT_MS} ms`,
  );
}

function standInScript(name: string): string {
  const here = dirname(fileURLToPath(import.meta.url));
  return join(here, "..", name, "main.js");
}

function daemonScript(): string {
  const resolve = createRequire(import.meta.url).resolve;
  return join(dirname(resolve("@toucantrestle/daemon")), "main.js");
}

import { createRequire } from "node:module";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { freePorts } from "./ports.ts";
import { type ManagedProcess, startProcess } from "./process.ts";

/** An upstream to start. */
export interface UpstreamSpec {
  name: string;
  kind: "engine" | "service";
  dataCentre: string;
  /** Models of an engine, routes of a service. */
  serves: string[];
  capacity: number;
  /** More flags for the stand-in. */
  args?: string[];
}

/** A daemon to start. */
export interface DaemonSpec {
  host: string;
  dataCentre: string;
  /** More flags for the daemon. */
  args?: string[];
  /** Flags for Node.js itself, for instance to profile. */
  nodeArgs?: string[];
}

/** What to start. */
export interface FleetSpec {
  daemons: DaemonSpec[];
  upstreams: UpstreamSpec[];
  /** Folder for log files; none to drop the logs. */
  logFolder?: string;
  /** More flags for the key-value service's stand-in. */
  storeArgs?: string[];
  /** More flags for every daemon. */
  daemonArgs?: string[];
}

/** A process of the fleet with its address. */
export interface Member {
  name: string;
  address: string;
  process: ManagedProcess;
}

/** A daemon of the fleet. */
export interface DaemonMember extends Member {
  dataCentre: string;
  siblingAddress: string;
}

const HEALTH_POLL_MS = 25;
const HEALTH_PATIENCE_MS = 20_000;

/** Key that the harness uses as an operator. */
export const OPERATOR_KEY = "harness-operator-key";

const SIBLING_KEY = "harness-sibling-key";
const SCRIPTS = {
  store: "config_store",
  hosts: "host_list",
  weights: "weight_store",
  engine: "engine",
  service: "service",
} as const;

/** Daemons and stand-ins as processes on loopback. */
export class Fleet {
  readonly daemons = new Map<string, DaemonMember>();
  readonly upstreams = new Map<string, Member>();
  readonly #spec: FleetSpec;
  #ports: number[] = [];
  #store: Member | undefined;
  #hosts: Member | undefined;
  #weights: Member | undefined;

  constructor(spec: FleetSpec) {
    this.#spec = spec;
  }

  /** Starts everything and waits until it answers. */
  async start(): Promise<void> {
    const { daemons, upstreams } = this.#spec;
    this.#ports = await freePorts(3 + upstreams.length + 2 * daemons.length);
    this.#store = this.#standIn("store", "store", this.#spec.storeArgs ?? []);
    this.#hosts = this.#standIn("hosts", "hosts", []);
    this.#weights = this.#standIn("weights", "weights", []);
    await Promise.all(
      [this.#store, this.#hosts, this.#weights].map(waitForHealth),
    );
    for (const spec of upstreams) this.startUpstream(spec);
    for (const spec of daemons) this.startDaemon(spec);
    await Promise.all(
      [...this.upstreams.values(), ...this.daemons.values()]
        .map(waitForHealth),
    );
    await this.#listHosts();
  }

  get storeUrl(): string {
    return `http://${this.#store?.address}`;
  }

  get hostListUrl(): string {
    return `http://${this.#hosts?.address}`;
  }

  get weightStoreUrl(): string {
    return `http://${this.#weights?.address}`;
  }

  /** Starts an upstream, at its old address if it ran before. */
  startUpstream(spec: UpstreamSpec): Member {
    const known = this.upstreams.get(spec.name);
    const args = [...(spec.args ?? [])];
    if (spec.kind === "engine") {
      args.push("--models", spec.serves.join(","));
      args.push("--max-batch", String(spec.capacity));
      args.push("--weight-store-url", this.weightStoreUrl);
    }
    const member = this.#standIn(spec.kind, spec.name, args, known?.address);
    this.upstreams.set(spec.name, member);
    return member;
  }

  /** Starts an upstream of the spec again. */
  restartUpstream(name: string): Member {
    const spec = this.#spec.upstreams.find((it) => it.name === name);
    if (!spec) throw new Error(`upstream ${name} is not known`);
    return this.startUpstream(spec);
  }

  /** Starts a daemon, at its old addresses if it ran before. */
  startDaemon(spec: DaemonSpec): DaemonMember {
    const known = this.daemons.get(spec.host);
    const address = known?.address ?? `127.0.0.1:${this.#ports.pop()}`;
    const siblingAddress = known?.siblingAddress ??
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
    const member: DaemonMember = {
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
    this.daemons.set(spec.host, member);
    return member;
  }

  /** Starts a daemon of the spec again, as a new run. */
  restartDaemon(host: string): DaemonMember {
    const spec = this.#spec.daemons.find((it) => it.host === host);
    if (!spec) throw new Error(`daemon ${host} is not known`);
    return this.startDaemon(spec);
  }

  /** Turns fault switches of a stand-in. */
  async setFaults(name: string, faults: unknown): Promise<void> {
    await postJson(`http://${this.#memberAddress(name)}/faults`, faults);
  }

  /** Lists a host as live or leaving. */
  async setHostState(name: string, state: "live" | "leaving"): Promise<void> {
    const entry = this.#hostEntries().find((it) => it.name === name);
    await postJson(`${this.hostListUrl}/hosts`, {
      hosts: [{ ...entry, state }],
    });
  }

  /** Resolves when every daemon sees an owner for every shard. */
  async waitUntilReady(): Promise<void> {
    await Promise.all([...this.daemons.values()].map(waitUntilDaemonReady));
  }

  /** Ends every process. */
  async stop(): Promise<void> {
    const members = [...this.daemons.values(), ...this.upstreams.values()];
    const others = [this.#store, this.#hosts, this.#weights]
      .filter((it) => it !== undefined);
    for (const member of [...members, ...others]) {
      member.process.signal("SIGKILL");
    }
    await Promise.all(
      [...members, ...others].map((it) => it.process.exited),
    );
  }

  #memberAddress(name: string): string | undefined {
    if (name === "store") return this.#store?.address;
    return this.upstreams.get(name)?.address;
  }

  #standIn(
    script: keyof typeof SCRIPTS,
    name: string,
    args: string[],
    at?: string,
  ): Member {
    const port = at?.split(":")[1] ?? String(this.#ports.pop());
    return {
      name,
      address: `127.0.0.1:${port}`,
      process: startProcess({
        name,
        script: standInScript(SCRIPTS[script]),
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

  async #listHosts(): Promise<void> {
    const hosts = this.#hostEntries().map((it) => ({ ...it, state: "live" }));
    await postJson(`${this.hostListUrl}/hosts`, { hosts });
  }
}

/** Sends JSON and returns the parsed answer. */
export async function postJson(url: string, body: unknown): Promise<unknown> {
  const res = await fetch(url, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
  });
  return await res.json();
}

/** Waits until a member answers on `/health`. */
export async function waitForHealth(member: Member): Promise<void> {
  await poll(member, () => true);
}

/** Waits until a daemon sees an owner for every shard. */
export async function waitUntilDaemonReady(
  member: DaemonMember,
): Promise<void> {
  await poll(member, (answer) => answer.ready === true);
}

async function poll(
  member: Member,
  isDone: (answer: { ready?: boolean }) => boolean,
): Promise<void> {
  const giveUpAt = Date.now() + HEALTH_PATIENCE_MS;
  while (Date.now() < giveUpAt) {
    const answer = await fetch(`http://${member.address}/health`)
      .then((res) => res.json() as Promise<{ ready?: boolean }>)
      .catch(() => undefined);
    if (answer && isDone(answer)) return;
    await new Promise((resolve) => setTimeout(resolve, HEALTH_POLL_MS));
  }
  throw new Error(`${member.name} is not ready in time`);
}

function standInScript(name: string): string {
  const here = dirname(fileURLToPath(import.meta.url));
  return join(here, "..", name, "main.js");
}

function daemonScript(): string {
  const resolve = createRequire(import.meta.url).resolve;
  return join(dirname(resolve("@toucantrestle/daemon")), "main.js");
}

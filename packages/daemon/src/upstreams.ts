import { EngineClient } from "@toucantrestle/engine";
import type { HostEntry, HostList } from "@toucantrestle/host_list";
import type { Logger } from "@toucantrestle/log";
import type { MemoryHolders } from "@toucantrestle/memory";
import type { UpstreamInfo } from "@toucantrestle/policy";
import { ServiceClient } from "@toucantrestle/service";
import type { TableView, UpstreamPolicy } from "@toucantrestle/table";
import type { Timer } from "@toucantrestle/timer";

interface UpstreamClient {
  address: string;
  engine: EngineClient | undefined;
  service: ServiceClient | undefined;
}

const HOST_LIST_POLL_MS = 500;

/**
 * Upstreams that are defined in the table, with a client for each. An upstream
 * that is leaving according to the host list accepts no new calls.
 */
export class Upstreams {
  readonly #view: () => TableView;
  readonly #timer: Timer;
  readonly #log: Logger;
  readonly #holders: MemoryHolders;
  readonly #clients = new Map<string, UpstreamClient>();
  readonly #onChange: (infos: UpstreamInfo[]) => void;
  #leavingHosts = new Set<string>();
  #hostEntries: HostEntry[] = [];
  #isPollingHosts = false;

  constructor(
    opts: {
      view: () => TableView;
      hostList: HostList | undefined;
      timer: Timer;
      log: Logger;
      holders: MemoryHolders;
      onChange: (infos: UpstreamInfo[]) => void;
    },
  ) {
    this.#view = opts.view;
    this.#timer = opts.timer;
    this.#log = opts.log;
    this.#holders = opts.holders;
    this.#onChange = opts.onChange;
    const { hostList } = opts;
    if (hostList) {
      opts.timer.every(HOST_LIST_POLL_MS, () => this.#pollHostList(hostList));
    }
  }

  /** Returns the entry hosts of the host list. */
  entryHosts(): HostEntry[] {
    return this.#hostEntries.filter((it) => it.kind === "entry");
  }

  /** Updates the upstreams and their clients from the current table. */
  refresh(): void {
    const policies = [...this.#view().upstreams.values()];
    const names = new Set(policies.map((it) => it.name));
    for (const name of [...this.#clients.keys()]) {
      if (!names.has(name)) this.#removeClient(name);
    }
    for (const policy of policies) this.#refreshClient(policy);
    this.#onChange(policies.map((policy) => this.#createInfo(policy)));
  }

  /** Returns the client of an engine; undefined if the table lacks it. */
  engine(name: string): EngineClient | undefined {
    return this.#clients.get(name)?.engine;
  }

  /** Returns the client of a service; undefined if the table lacks it. */
  service(name: string): ServiceClient | undefined {
    return this.#clients.get(name)?.service;
  }

  /** Returns the names and clients of all engines. */
  engines(): { name: string; client: EngineClient }[] {
    return [...this.#clients].flatMap(([name, { engine }]) =>
      engine ? [{ name, client: engine }] : []
    );
  }

  #createInfo(policy: UpstreamPolicy): UpstreamInfo {
    return {
      name: policy.name,
      kind: policy.kind,
      dataCentre: policy.dataCentre,
      serves: policy.serves,
      capacity: policy.capacity,
      accepting: !policy.drained && !this.#leavingHosts.has(policy.name),
    };
  }

  #refreshClient(policy: UpstreamPolicy): void {
    const existing = this.#clients.get(policy.name);
    if (existing?.address === policy.address) return;
    if (existing) this.#removeClient(policy.name);
    const { name, address } = policy;
    const timer = this.#timer;
    const log = this.#log;
    const holders = this.#holders;
    this.#clients.set(name, {
      address,
      engine: policy.kind === "engine"
        ? new EngineClient({ name, address, holders })
        : undefined,
      service: policy.kind === "service"
        ? new ServiceClient({ name, address, timer, log, holders })
        : undefined,
    });
  }

  /** Removes a client. Calls in flight keep their connection until they end. */
  #removeClient(name: string): void {
    this.#clients.delete(name);
  }

  async #pollHostList(hostList: HostList): Promise<void> {
    if (this.#isPollingHosts) return;
    this.#isPollingHosts = true;
    const entries = await hostList.read().catch(() => undefined);
    this.#isPollingHosts = false;
    if (!entries) return;
    this.#hostEntries = entries;
    const leaving = new Set(
      entries.filter((it) => it.state === "leaving").map((it) => it.name),
    );
    const isSame = leaving.size === this.#leavingHosts.size &&
      [...leaving].every((name) => this.#leavingHosts.has(name));
    if (isSame) return;
    this.#leavingHosts = leaving;
    this.#log.info(
      `leaving hosts according to the host list: ${
        [...leaving].join(", ") || "none"
      }`,
    );
    this.refresh();
  }
}

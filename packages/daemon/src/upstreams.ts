import { EngineClient } from "@toucantrestle/engine";
import type { HostEntry, HostList } from "@toucantrestle/host_list";
import type { Logger } from "@toucantrestle/log";
import type { UpstreamInfo } from "@toucantrestle/policy";
import { ServiceClient } from "@toucantrestle/service";
import type { TableView, UpstreamPolicy } from "@toucantrestle/table";
import type { Timer } from "@toucantrestle/timer";

interface Clients {
  address: string;
  engine: EngineClient | undefined;
  service: ServiceClient | undefined;
}

const HOST_LIST_POLL_MS = 500;

/**
 * Upstreams by table and host list, with a client for each. An upstream that
 * the host list shows as leaving accepts no new work.
 */
export class Upstreams {
  readonly #view: () => TableView;
  readonly #log: Logger;
  readonly #clients = new Map<string, Clients>();
  readonly #onChange: (infos: UpstreamInfo[]) => void;
  #leaving = new Set<string>();
  #entries: HostEntry[] = [];

  constructor(
    opts: {
      view: () => TableView;
      hostList: HostList | undefined;
      timer: Timer;
      log: Logger;
      onChange: (infos: UpstreamInfo[]) => void;
    },
  ) {
    this.#view = opts.view;
    this.#log = opts.log;
    this.#onChange = opts.onChange;
    const { hostList } = opts;
    if (hostList) {
      opts.timer.every(HOST_LIST_POLL_MS, () => this.#poll(hostList));
    }
  }

  /** Entries of the host list that are entry hosts. */
  entryHosts(): HostEntry[] {
    return this.#entries.filter((it) => it.kind === "entry");
  }

  /** Takes a new table into use. */
  refresh(): void {
    const policies = [...this.#view().upstreams.values()];
    const names = new Set(policies.map((it) => it.name));
    for (const name of [...this.#clients.keys()]) {
      if (!names.has(name)) this.#drop(name);
    }
    for (const policy of policies) this.#refreshClient(policy);
    this.#onChange(policies.map((policy) => this.#infoOf(policy)));
  }

  /** Client of an engine. */
  engine(name: string): EngineClient | undefined {
    return this.#clients.get(name)?.engine;
  }

  /** Client of a service. */
  service(name: string): ServiceClient | undefined {
    return this.#clients.get(name)?.service;
  }

  /** Names and clients of all engines. */
  engines(): { name: string; client: EngineClient }[] {
    return [...this.#clients].flatMap(([name, { engine }]) =>
      engine ? [{ name, client: engine }] : []
    );
  }

  #infoOf(policy: UpstreamPolicy): UpstreamInfo {
    return {
      name: policy.name,
      kind: policy.kind,
      dataCentre: policy.dataCentre,
      serves: policy.serves,
      capacity: policy.capacity,
      accepting: !policy.drained && !this.#leaving.has(policy.name),
    };
  }

  #refreshClient(policy: UpstreamPolicy): void {
    const known = this.#clients.get(policy.name);
    if (known?.address === policy.address) return;
    if (known) this.#drop(policy.name);
    const { name, address } = policy;
    this.#clients.set(name, {
      address,
      engine: policy.kind === "engine"
        ? new EngineClient({ name, address })
        : undefined,
      service: policy.kind === "service"
        ? new ServiceClient({ name, address })
        : undefined,
    });
  }

  /** Calls in progress keep their connection until they end. */
  #drop(name: string): void {
    this.#clients.delete(name);
  }

  async #poll(hostList: HostList): Promise<void> {
    const entries = await hostList.read().catch(() => undefined);
    if (!entries) return;
    this.#entries = entries;
    const leaving = new Set(
      entries.filter((it) => it.state === "leaving").map((it) => it.name),
    );
    const isSame = leaving.size === this.#leaving.size &&
      [...leaving].every((name) => this.#leaving.has(name));
    if (isSame) return;
    this.#leaving = leaving;
    this.#log.info(`leaving hosts: ${[...leaving].join(", ") || "none"}`);
    this.refresh();
  }
}

import type { HostEntry } from "@toucantrestle/host_list";
import {
  chooseLinkTargets,
  type HostRecord,
  type HostRun,
} from "@toucantrestle/membership";
import type { SiblingNet } from "@toucantrestle/sibling";
import type { Timer } from "@toucantrestle/timer";
import type { OwnedShard } from "./owned_shard.ts";
import { fetchClusterView } from "./peer_handlers.ts";
import type { StoreView } from "./store_view.ts";

const REFRESH_INTERVAL_MS = 500;
/** A host without a message for this long counts as unresponsive. */
const MAX_SILENT_MS = 1_000;
/** Limit on links to hosts that are neither owners nor holders. */
const MAX_IDLE_LINKS = 16;

/**
 * Maintains the links to the siblings that this daemon needs and polls them for
 * cluster state during an outage of the key-value service.
 */
export class LinkManager {
  readonly #self: HostRun;
  readonly #view: StoreView;
  readonly #net: SiblingNet;
  readonly #timer: Timer;
  readonly #shards: ReadonlyMap<number, OwnedShard>;
  readonly #joinAddresses: () => string[];

  constructor(
    opts: {
      self: HostRun;
      view: StoreView;
      net: SiblingNet;
      timer: Timer;
      shards: ReadonlyMap<number, OwnedShard>;
      /** Addresses of siblings to dial until the service has been read. */
      joinAddresses: () => string[];
    },
  ) {
    this.#self = opts.self;
    this.#view = opts.view;
    this.#net = opts.net;
    this.#timer = opts.timer;
    this.#shards = opts.shards;
    this.#joinAddresses = opts.joinAddresses;
  }

  start(): void {
    this.#timer.every(REFRESH_INTERVAL_MS, () => this.#refresh());
  }

  /** Whether this daemon serves or has a link to the owner of every shard. */
  get isReady(): boolean {
    const { shards } = this.#view;
    if (shards.size === 0) return false;
    return [...shards.values()].every(({ record }) =>
      record.owner.runId === this.#self.runId
        ? this.#shards.has(record.shard)
        : this.#net.session(record.owner) !== undefined
    );
  }

  #refresh(): void {
    const hosts = [...this.#view.hosts.values()];
    const idleTargets = chooseLinkTargets(this.#self, hosts, MAX_IDLE_LINKS);
    this.#net.setTargets([
      ...idleTargets.map((it) => it.siblingAddress),
      ...this.#neededRuns().map((it) => it.siblingAddress),
      ...(this.#view.isLoaded ? [] : this.#joinAddresses()),
    ]);
    const sessions = this.#net.sessions();
    const round = Math.floor(this.#timer.now() / REFRESH_INTERVAL_MS);
    const session = sessions[round % sessions.length];
    if (session) fetchClusterView(this.#view, session);
  }

  /** Returns the owners of all shards and the holders of own shards. */
  #neededRuns(): HostRun[] {
    const owners = [...this.#view.shards.values()].map((it) => it.record.owner);
    const holders = [...this.#shards.values()]
      .flatMap((it) => it.record.log.holders);
    return [...owners, ...holders];
  }
}

/** Returns the registered hosts that were heard from recently. */
export function listResponsiveHosts(
  view: StoreView,
  net: SiblingNet,
): HostRecord[] {
  return [...view.hosts.values()].filter((host) => {
    const silentMs = net.silentMs(host.runId);
    return silentMs !== undefined && silentMs < MAX_SILENT_MS;
  });
}

/**
 * Returns the sibling addresses to dial first: the configured ones, separated
 * by commas, and those of the host list.
 */
export function listJoinAddresses(
  configured: string,
  entryHosts: readonly HostEntry[],
): string[] {
  const listed = entryHosts
    .map((it) => it.siblingAddress)
    .filter((it) => it !== undefined);
  return [...configured.split(",").filter((it) => it !== ""), ...listed];
}

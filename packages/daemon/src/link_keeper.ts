import {
  chooseLinkTargets,
  type HostRecord,
  type HostRun,
} from "@toucantrestle/membership";
import type { SiblingNet } from "@toucantrestle/sibling";
import type { Timer } from "@toucantrestle/timer";
import type { OwnedShard } from "./owned_shard.ts";
import { learnCluster } from "./peer_handlers.ts";
import type { StoreView } from "./store_view.ts";

const REFRESH_MS = 500;
/** A host that says nothing for this long does not answer, in ms. */
const MAX_SILENT_MS = 1_000;
/** Links that a daemon keeps without a reason. */
const MAX_IDLE_LINKS = 16;

/** Keeps the links that this daemon needs, and learns from siblings. */
export class LinkKeeper {
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
      /** Siblings to join by while the service cannot be read. */
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
    this.#timer.every(REFRESH_MS, () => this.#refresh());
  }

  /** Every shard has an owner that this daemon can reach. */
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
    const idle = chooseLinkTargets(this.#self, hosts, MAX_IDLE_LINKS);
    this.#net.setTargets([
      ...idle.map((it) => it.siblingAddress),
      ...this.#neededRuns().map((it) => it.siblingAddress),
      ...(this.#view.isLoaded ? [] : this.#joinAddresses()),
    ]);
    const sessions = this.#net.sessions();
    const turn = Math.floor(this.#timer.now() / REFRESH_MS);
    const session = sessions[turn % sessions.length];
    if (session) learnCluster(this.#view, session);
  }

  /** Owners and holders that this daemon must reach. */
  #neededRuns(): HostRun[] {
    const owners = [...this.#view.shards.values()].map((it) => it.record.owner);
    const holders = [...this.#shards.values()]
      .flatMap((it) => it.record.log.holders);
    return [...owners, ...holders];
  }
}

/** Hosts of the list whose links answer. */
export function hostsThatAnswer(
  view: StoreView,
  net: SiblingNet,
): HostRecord[] {
  return [...view.hosts.values()].filter((host) => {
    const silentMs = net.silentMs(host.runId);
    return silentMs !== undefined && silentMs < MAX_SILENT_MS;
  });
}

import type { Logger } from "@toucantrestle/log";
import {
  type HostRecord,
  type HostRun,
  isReplaceable,
  preferredOwner,
  SHARD_COUNT,
} from "@toucantrestle/membership";
import type { SiblingNet } from "@toucantrestle/sibling";
import type { Timeline } from "@toucantrestle/timeline";
import type { Timer } from "@toucantrestle/timer";
import type { Flusher } from "./flusher.ts";
import type { LeaseManager } from "./lease_manager.ts";
import type { OwnedShard } from "./owned_shard.ts";
import type { StoreView, VersionedShard } from "./store_view.ts";
import type { Takeover } from "./takeover.ts";

const CHECK_INTERVAL_MS = 250;
const MAX_PARALLEL_TAKEOVERS = 8;
/** A host must have been registered this long before shards move to it. */
const JOIN_GRACE_MS = 3_000;
/**
 * A holder whose registration is gone is replaced after this time without a
 * message from it. Hosts silent for this long receive no shards.
 */
const HOLDER_SILENCE_LIMIT_MS = 2_000;
/** Delay before a failed ownership change of a shard is retried. */
const MOVE_RETRY_MS = 1_000;
const HEARD_RPC_TIMEOUT_MS = 400;

/** Settings and dependencies of the ownership loop. */
export interface OwnershipOptions {
  self: HostRun;
  view: StoreView;
  lease: LeaseManager;
  net: () => SiblingNet;
  timer: Timer;
  log: Logger;
  timeline: Timeline;
  shards: Map<number, OwnedShard>;
  takeover: Takeover;
  flusher: Flusher;
  chooseHolders: (shard: number) => HostRun[];
  /** Target number of holders of a shard's journal tail. */
  copies: number;
  /** Called when this daemon starts to serve a shard. */
  onServing: (shard: OwnedShard) => void;
}

/** Decides which shards this daemon takes over, serves and hands over. */
export class Ownership {
  readonly #opts: OwnershipOptions;
  readonly #busyShards = new Set<number>();
  /** Time of the next retry by shard, for shards whose last change failed. */
  readonly #retryAt = new Map<number, number>();
  readonly #firstSeenAt = new Map<string, number>();
  readonly #startedAt: number;
  #isStopping = false;
  #isCreating = false;

  constructor(opts: OwnershipOptions) {
    this.#opts = opts;
    this.#startedAt = opts.timer.now();
    opts.timer.every(CHECK_INTERVAL_MS, () => this.#checkShards());
    opts.view.onChange(() => this.#dropLostShards());
  }

  /** Returns the shard if this daemon owns it and has not lost it. */
  getServedShard(shard: number): OwnedShard | undefined {
    const owned = this.#opts.shards.get(shard);
    return owned && owned.state !== "lost" ? owned : undefined;
  }

  /** Stops serving a shard that another daemon owns now. */
  dropLostShard(shard: OwnedShard): void {
    if (shard.state === "lost") return;
    shard.markLost();
    if (this.#opts.shards.get(shard.shard) === shard) {
      this.#opts.shards.delete(shard.shard);
    }
    this.#opts.log.warn(
      `lost ownership of shard ${shard.shard} at epoch ${shard.epoch}`,
    );
    this.#recordEvent("shard_lost", shard.shard, `epoch ${shard.epoch}`);
  }

  /**
   * Hands all shards over. Resolves when none is left, when no other host can
   * take the idle shards, or at `deadline`.
   */
  async stop(deadline: number): Promise<void> {
    this.#isStopping = true;
    const { shards, timer } = this.#opts;
    while (!this.#canEndStop() && timer.now() < deadline) {
      await Promise.all([...shards.values()].map((it) => this.#handOver(it)));
      await new Promise<void>((resolve) => {
        timer.after(CHECK_INTERVAL_MS, resolve);
      });
    }
  }

  /** Whether no shard is left, or no call is in flight and no host is live. */
  #canEndStop(): boolean {
    const shards = [...this.#opts.shards.values()];
    const isIdle = shards.every((it) => it.callsInFlight.size === 0);
    return shards.length === 0 || (isIdle && this.#liveHosts().length === 0);
  }

  #checkShards(): void {
    if (this.#isStopping) return;
    this.#trackHosts();
    this.#createMissingShards();
    const stableHosts = this.#stableHosts();
    for (const stored of this.#opts.view.shards.values()) {
      this.#checkShard(stored, stableHosts);
    }
  }

  #checkShard(stored: VersionedShard, stableHosts: HostRecord[]): void {
    const { record } = stored;
    const owned = this.#opts.shards.get(record.shard);
    if (this.#busyShards.has(record.shard)) return;
    const retryAt = this.#retryAt.get(record.shard) ?? 0;
    if (this.#opts.timer.now() < retryAt) return;
    const isOwn = record.owner.runId === this.#opts.self.runId;
    if (isOwn && !owned) {
      if (this.#canStartTakeover()) {
        this.#runExclusive(record.shard, () => this.#startServing(stored));
      }
    } else if (isOwn && owned) {
      this.#checkOwnedShard(owned, stableHosts);
    } else if (this.#appearsDead(record.owner) && this.#canStartTakeover()) {
      this.#runExclusive(record.shard, () => this.#takeOverIfDead(stored));
    }
  }

  #checkOwnedShard(owned: OwnedShard, stableHosts: HostRecord[]): void {
    const preferred = preferredOwner(owned.shard, stableHosts);
    if (preferred && preferred.runId !== this.#opts.self.runId) {
      this.#runExclusive(owned.shard, () => this.#handOver(owned));
      return;
    }
    if (owned.state === "draining") owned.state = "serving";
    this.#checkHolders(owned);
  }

  /** Moves the tail to new holders when a holder is gone or there are too few. */
  #checkHolders(owned: OwnedShard): void {
    const { flusher, view, lease } = this.#opts;
    if (!lease.isFresh || flusher.isRotating(owned)) return;
    const { log } = owned.record;
    const hasGoneHolder = log.holders.some((run) => this.#isHolderGone(run));
    const others = view.hosts.size - 1;
    const hasTooFewHolders =
      log.holders.length < Math.min(others, this.#opts.copies);
    if (!hasGoneHolder && !hasTooFewHolders) return;
    const wanted = this.#opts.chooseHolders(owned.shard);
    if (!hasGoneHolder && wanted.length <= log.holders.length) return;
    flusher.scheduleRotation(owned, {
      epoch: log.epoch,
      generation: log.generation + 1,
      holders: wanted,
    });
  }

  #isHolderGone(run: HostRun): boolean {
    const host = this.#opts.view.hosts.get(run.runId);
    if (host) return host.state === "leaving";
    return this.#silentMs(run.runId) > HOLDER_SILENCE_LIMIT_MS;
  }

  async #startServing(stored: VersionedShard): Promise<void> {
    const owned = await this.#opts.takeover.activate(stored);
    if (!owned) return;
    this.#opts.shards.set(owned.shard, owned);
    this.#recordEvent("shard_served", owned.shard, `epoch ${owned.epoch}`);
    this.#opts.onServing(owned);
  }

  async #takeOverIfDead(stored: VersionedShard): Promise<void> {
    const { record } = stored;
    if (!await this.#isDead(record.owner)) return;
    const survivors = this.#liveHosts()
      .filter((it) => it.runId !== record.owner.runId);
    const successor = preferredOwner(record.shard, survivors);
    if (successor?.runId !== this.#opts.self.runId) return;
    const claimed = await this.#opts.takeover.claim(stored);
    if (!claimed) return;
    this.#recordEvent(
      "shard_claimed",
      record.shard,
      `from ${record.owner.host}`,
    );
    this.#opts.view.updateShard(claimed.record, claimed.modRevision);
    await this.#startServing(claimed);
  }

  async #isDead(run: HostRun): Promise<boolean> {
    if (!this.#appearsDead(run)) return false;
    const heardByOthers = await this.#isHeardBySiblings(run);
    return isReplaceable({
      ...this.#collectEvidence(run),
      isHeardByOthers: heardByOthers,
    });
  }

  /** Whether a run appears dead without asking the siblings. */
  #appearsDead(run: HostRun): boolean {
    return isReplaceable({
      ...this.#collectEvidence(run),
      isHeardByOthers: false,
    });
  }

  #collectEvidence(run: HostRun) {
    const { view, lease } = this.#opts;
    return {
      hasLease: view.hosts.has(run.runId),
      storeReachable: lease.isFresh && view.isWatching,
      silentMs: this.#silentMs(run.runId),
    };
  }

  async #isHeardBySiblings(run: HostRun): Promise<boolean> {
    const others = this.#opts.net().sessions()
      .filter((it) => it.run.runId !== run.runId);
    const silentTimesMs = await Promise.all(others.map(async (session) => {
      const args = { runId: run.runId };
      const reply = await session.rpc("heard", args, HEARD_RPC_TIMEOUT_MS)
        .catch(() => undefined);
      return reply?.silentMs ?? Infinity;
    }));
    return silentTimesMs.some((silentMs) =>
      silentMs < HEARD_RPC_TIMEOUT_MS * 3
    );
  }

  /** Drains a shard and hands it over to its preferred owner. */
  async #handOver(owned: OwnedShard): Promise<void> {
    const { flusher, takeover, view } = this.#opts;
    const successor = preferredOwner(
      owned.shard,
      this.#stableHosts().filter((it) =>
        !this.#isStopping || it.runId !== this.#opts.self.runId
      ),
    );
    if (!successor || successor.runId === this.#opts.self.runId) return;
    if (this.#isStopping) owned.state = "draining";
    if (owned.callsInFlight.size > 0) return;
    owned.state = "draining";
    await flusher.flushAll();
    if (owned.callsInFlight.size > 0 || owned.unflushed.length > 0) return;
    const moved = await takeover.handOver(owned, successor);
    this.dropLostShard(owned);
    if (!moved) return;
    this.#recordEvent("shard_handed_over", owned.shard, `to ${successor.host}`);
    view.updateShard(moved.record, moved.modRevision);
  }

  async #createMissingShards(): Promise<void> {
    const { view, takeover, lease } = this.#opts;
    if (!view.isLoaded || !lease.isFresh || this.#isCreating) return;
    if (view.shards.size === SHARD_COUNT) return;
    if (this.#opts.timer.now() - this.#startedAt < JOIN_GRACE_MS / 3) return;
    const missing = Array.from({ length: SHARD_COUNT }, (_, shard) => shard)
      .filter((shard) => !view.shards.has(shard))
      .filter((shard) => {
        const preferred = preferredOwner(shard, this.#liveHosts());
        return preferred?.runId === this.#opts.self.runId;
      });
    if (missing.length === 0) return;
    this.#isCreating = true;
    await takeover.createRecords(missing).catch(() => {});
    this.#isCreating = false;
  }

  /** Stops serving shards whose stored record has a higher epoch. */
  #dropLostShards(): void {
    for (const owned of [...this.#opts.shards.values()]) {
      const stored = this.#opts.view.shards.get(owned.shard);
      if (!stored || stored.record.epoch <= owned.epoch) continue;
      this.dropLostShard(owned);
    }
  }

  #trackHosts(): void {
    const now = this.#opts.timer.now();
    const { hosts } = this.#opts.view;
    for (const runId of hosts.keys()) {
      if (!this.#firstSeenAt.has(runId)) this.#firstSeenAt.set(runId, now);
    }
    for (const runId of this.#firstSeenAt.keys()) {
      if (!hosts.has(runId)) this.#firstSeenAt.delete(runId);
    }
  }

  /**
   * Returns the registered live hosts and this one, which is included even if
   * its lease has expired.
   */
  #liveHosts(): HostRecord[] {
    const { view, lease } = this.#opts;
    const others = [...view.hosts.values()]
      .filter((it) => it.runId !== lease.record.runId);
    return [...others, lease.record].filter((it) => it.state === "live");
  }

  /**
   * Returns the live hosts to which shards may move: registered for at least
   * `JOIN_GRACE_MS` and heard from recently.
   */
  #stableHosts(): HostRecord[] {
    const now = this.#opts.timer.now();
    return this.#liveHosts().filter((it) => {
      if (it.runId === this.#opts.self.runId) return true;
      const seenAt = this.#firstSeenAt.get(it.runId) ?? now;
      return now - seenAt >= JOIN_GRACE_MS &&
        this.#silentMs(it.runId) < HOLDER_SILENCE_LIMIT_MS;
    });
  }

  #silentMs(runId: string): number {
    const sinceStart = this.#opts.timer.now() - this.#startedAt;
    return this.#opts.net().silentMs(runId) ?? sinceStart;
  }

  #canStartTakeover(): boolean {
    return this.#busyShards.size < MAX_PARALLEL_TAKEOVERS &&
      this.#opts.lease.isFresh;
  }

  #runExclusive(shard: number, task: () => Promise<void>): void {
    this.#busyShards.add(shard);
    task()
      .catch((err: unknown) => {
        this.#opts.log.warn(
          `ownership change of shard ${shard} failed, retrying in ${MOVE_RETRY_MS} ms: ${
            String(err)
          }`,
        );
        this.#retryAt.set(shard, this.#opts.timer.now() + MOVE_RETRY_MS);
      })
      .finally(() => this.#busyShards.delete(shard));
  }

  #recordEvent(kind: string, shard: number, detail: string): void {
    this.#opts.timeline.record({ part: "owner", kind, shard, detail });
  }
}

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
import type { LeaseKeeper } from "./lease_keeper.ts";
import type { OwnedShard } from "./owned_shard.ts";
import type { KnownShard, StoreView } from "./store_view.ts";
import type { Takeover } from "./takeover.ts";

const CHECK_MS = 250;
const MAX_PARALLEL_TAKEOVERS = 8;
/** A joined host must stay this long before shards move to it. */
const JOIN_PATIENCE_MS = 3_000;
/** A holder must be gone this long before it is replaced. */
const HOLDER_PATIENCE_MS = 2_000;
/** Pause after a shard could not be moved. */
const RETRY_MOVE_MS = 1_000;
const HEARD_TIMEOUT_MS = 400;

/** Settings and parts of the ownership loop. */
export interface OwnershipOptions {
  self: HostRun;
  view: StoreView;
  lease: LeaseKeeper;
  net: () => SiblingNet;
  timer: Timer;
  log: Logger;
  timeline: Timeline;
  shards: Map<number, OwnedShard>;
  takeover: Takeover;
  flusher: Flusher;
  chooseHolders: (shard: number) => HostRun[];
  /** Wanted holders of a shard's journal tail. */
  copies: number;
  /** Called when a shard begins to be served here. */
  onServing: (shard: OwnedShard) => void;
}

/** Decides which shards this daemon takes, keeps and hands over. */
export class Ownership {
  readonly #opts: OwnershipOptions;
  readonly #busy = new Set<number>();
  /** Shards whose last move failed, with the time of the next try. */
  readonly #retryAt = new Map<number, number>();
  readonly #firstSeenAt = new Map<string, number>();
  readonly #startedAt: number;
  #isStopping = false;
  #isCreating = false;

  constructor(opts: OwnershipOptions) {
    this.#opts = opts;
    this.#startedAt = opts.timer.now();
    opts.timer.every(CHECK_MS, () => this.#check());
    opts.view.onChange(() => this.#dropLost());
  }

  /** The shard, if it is served here. */
  serving(shard: number): OwnedShard | undefined {
    const owned = this.#opts.shards.get(shard);
    return owned && owned.state !== "lost" ? owned : undefined;
  }

  /** Gives up a shard that another daemon has taken. */
  lose(shard: OwnedShard): void {
    if (shard.state === "lost") return;
    shard.lose();
    if (this.#opts.shards.get(shard.shard) === shard) {
      this.#opts.shards.delete(shard.shard);
    }
    this.#opts.log.warn(`lost shard ${shard.shard} of epoch ${shard.epoch}`);
    this.#record("shard_lost", shard.shard, `epoch ${shard.epoch}`);
  }

  /** Hands all shards over and returns when none is left. */
  async stop(deadline: number): Promise<void> {
    this.#isStopping = true;
    const { shards, timer } = this.#opts;
    while (!this.#mayEnd() && timer.now() < deadline) {
      await Promise.all([...shards.values()].map((it) => this.#release(it)));
      await new Promise<void>((resolve) => {
        timer.after(CHECK_MS, resolve);
      });
    }
  }

  /** Nothing is left, or nothing runs and nobody is there to take over. */
  #mayEnd(): boolean {
    const shards = [...this.#opts.shards.values()];
    const isIdle = shards.every((it) => it.attempts.size === 0);
    return shards.length === 0 || (isIdle && this.#liveHosts().length === 0);
  }

  #check(): void {
    if (this.#isStopping) return;
    this.#noteHosts();
    this.#createMissing();
    const settled = this.#settledHosts();
    for (const known of this.#opts.view.shards.values()) {
      this.#checkOne(known, settled);
    }
  }

  #checkOne(known: KnownShard, settled: HostRecord[]): void {
    const { record } = known;
    const owned = this.#opts.shards.get(record.shard);
    if (this.#busy.has(record.shard)) return;
    const retryAt = this.#retryAt.get(record.shard) ?? 0;
    if (this.#opts.timer.now() < retryAt) return;
    const isOwn = record.owner.runId === this.#opts.self.runId;
    if (isOwn && !owned) {
      if (this.#canStart()) this.#run(record.shard, () => this.#adopt(known));
    } else if (isOwn && owned) {
      this.#checkOwned(owned, settled);
    } else if (this.#looksDead(record.owner) && this.#canStart()) {
      this.#run(record.shard, () => this.#replaceIfDead(known));
    }
  }

  #checkOwned(owned: OwnedShard, settled: HostRecord[]): void {
    const preferred = preferredOwner(owned.shard, settled);
    if (preferred && preferred.runId !== this.#opts.self.runId) {
      this.#run(owned.shard, () => this.#release(owned));
      return;
    }
    if (owned.state === "draining") owned.state = "serving";
    this.#checkHolders(owned);
  }

  /** Moves the tail to new holders when one is gone or one is missing. */
  #checkHolders(owned: OwnedShard): void {
    const { flusher, view, lease } = this.#opts;
    if (!lease.isFresh || flusher.isRotating(owned)) return;
    const { log } = owned.record;
    const isGone = log.holders.some((run) => this.#isGone(run));
    const others = view.hosts.size - 1;
    const hasTooFew = log.holders.length < Math.min(others, this.#opts.copies);
    if (!isGone && !hasTooFew) return;
    const wanted = this.#opts.chooseHolders(owned.shard);
    if (!isGone && wanted.length <= log.holders.length) return;
    flusher.rotate(owned, {
      epoch: log.epoch,
      generation: log.generation + 1,
      holders: wanted,
    });
  }

  #isGone(run: HostRun): boolean {
    const host = this.#opts.view.hosts.get(run.runId);
    if (host) return host.state === "leaving";
    return this.#silentMs(run.runId) > HOLDER_PATIENCE_MS;
  }

  async #adopt(known: KnownShard): Promise<void> {
    const owned = await this.#opts.takeover.activate(known);
    if (!owned) return;
    this.#opts.shards.set(owned.shard, owned);
    this.#record("shard_served", owned.shard, `epoch ${owned.epoch}`);
    this.#opts.onServing(owned);
  }

  async #replaceIfDead(known: KnownShard): Promise<void> {
    const { record } = known;
    if (!await this.#isDead(record.owner)) return;
    const survivors = this.#liveHosts()
      .filter((it) => it.runId !== record.owner.runId);
    const successor = preferredOwner(record.shard, survivors);
    if (successor?.runId !== this.#opts.self.runId) return;
    const claimed = await this.#opts.takeover.claim(known);
    if (!claimed) return;
    this.#record("shard_claimed", record.shard, `from ${record.owner.host}`);
    this.#opts.view.takeShard(claimed.record, claimed.modRevision);
    await this.#adopt(claimed);
  }

  async #isDead(run: HostRun): Promise<boolean> {
    if (!this.#looksDead(run)) return false;
    const heardByOthers = await this.#isHeardByOthers(run);
    return isReplaceable({ ...this.#evidence(run), heardByOthers });
  }

  /** Whether a run is dead as far as this daemon alone can tell. */
  #looksDead(run: HostRun): boolean {
    return isReplaceable({ ...this.#evidence(run), heardByOthers: false });
  }

  #evidence(run: HostRun) {
    const { view, lease } = this.#opts;
    return {
      hasLease: view.hosts.has(run.runId),
      storeReachable: lease.isFresh && view.isWatching,
      silentMs: this.#silentMs(run.runId),
    };
  }

  async #isHeardByOthers(run: HostRun): Promise<boolean> {
    const others = this.#opts.net().sessions()
      .filter((it) => it.run.runId !== run.runId);
    const answers = await Promise.all(others.map(async (session) => {
      const args = { runId: run.runId };
      const answer = await session.rpc("heard", args, HEARD_TIMEOUT_MS)
        .catch(() => undefined);
      return answer?.silentMs ?? Infinity;
    }));
    return answers.some((silentMs) => silentMs < HEARD_TIMEOUT_MS * 3);
  }

  /** Drains a shard and hands it to the host that should own it. */
  async #release(owned: OwnedShard): Promise<void> {
    const { flusher, takeover, view } = this.#opts;
    const successor = preferredOwner(
      owned.shard,
      this.#settledHosts().filter((it) =>
        !this.#isStopping || it.runId !== this.#opts.self.runId
      ),
    );
    if (!successor || successor.runId === this.#opts.self.runId) return;
    if (this.#isStopping) owned.state = "draining";
    if (owned.attempts.size > 0) return;
    owned.state = "draining";
    await flusher.flushAll();
    if (owned.attempts.size > 0 || owned.unflushed.length > 0) return;
    const moved = await takeover.handOver(owned, successor);
    this.lose(owned);
    if (!moved) return;
    this.#record("shard_handed_over", owned.shard, `to ${successor.host}`);
    view.takeShard(moved.record, moved.modRevision);
  }

  async #createMissing(): Promise<void> {
    const { view, takeover, lease } = this.#opts;
    if (!view.isLoaded || !lease.isFresh || this.#isCreating) return;
    if (view.shards.size === SHARD_COUNT) return;
    if (this.#opts.timer.now() - this.#startedAt < JOIN_PATIENCE_MS / 3) return;
    const missing = Array.from({ length: SHARD_COUNT }, (_, shard) => shard)
      .filter((shard) => !view.shards.has(shard))
      .filter((shard) => {
        const preferred = preferredOwner(shard, this.#liveHosts());
        return preferred?.runId === this.#opts.self.runId;
      });
    if (missing.length === 0) return;
    this.#isCreating = true;
    await takeover.create(missing).catch(() => {});
    this.#isCreating = false;
  }

  /** Drops shards whose records name another owner or a higher epoch. */
  #dropLost(): void {
    for (const owned of [...this.#opts.shards.values()]) {
      const known = this.#opts.view.shards.get(owned.shard);
      if (!known || known.record.epoch <= owned.epoch) continue;
      this.lose(owned);
    }
  }

  #noteHosts(): void {
    const now = this.#opts.timer.now();
    const { hosts } = this.#opts.view;
    for (const runId of hosts.keys()) {
      if (!this.#firstSeenAt.has(runId)) this.#firstSeenAt.set(runId, now);
    }
    for (const runId of this.#firstSeenAt.keys()) {
      if (!hosts.has(runId)) this.#firstSeenAt.delete(runId);
    }
  }

  /** Registered hosts and this one, whose lease may just have lapsed. */
  #liveHosts(): HostRecord[] {
    const { view, lease } = this.#opts;
    const others = [...view.hosts.values()]
      .filter((it) => it.runId !== lease.record.runId);
    return [...others, lease.record].filter((it) => it.state === "live");
  }

  /** Live hosts that have been there for a while, to which shards may move. */
  #settledHosts(): HostRecord[] {
    const now = this.#opts.timer.now();
    return this.#liveHosts().filter((it) => {
      if (it.runId === this.#opts.self.runId) return true;
      const seenAt = this.#firstSeenAt.get(it.runId) ?? now;
      return now - seenAt >= JOIN_PATIENCE_MS &&
        this.#silentMs(it.runId) < HOLDER_PATIENCE_MS;
    });
  }

  #silentMs(runId: string): number {
    const sinceStart = this.#opts.timer.now() - this.#startedAt;
    return this.#opts.net().silentMs(runId) ?? sinceStart;
  }

  #canStart(): boolean {
    return this.#busy.size < MAX_PARALLEL_TAKEOVERS &&
      this.#opts.lease.isFresh;
  }

  #run(shard: number, task: () => Promise<void>): void {
    this.#busy.add(shard);
    task()
      .catch((err: unknown) => {
        this.#opts.log.warn(`shard ${shard} cannot move now: ${String(err)}`);
        this.#retryAt.set(shard, this.#opts.timer.now() + RETRY_MOVE_MS);
      })
      .finally(() => this.#busy.delete(shard));
  }

  #record(kind: string, shard: number, detail: string): void {
    this.#opts.timeline.record({ part: "owner", kind, shard, detail });
  }
}

import type { Logger } from "@toucantrestle/log";
import { shardOfProgram } from "@toucantrestle/membership";
import type { EndReason, Ledger } from "@toucantrestle/program";
import type { Timeline } from "@toucantrestle/timeline";
import type { Timer } from "@toucantrestle/timer";
import type { PlacementQueue } from "./placement_queue.ts";
import type { ChildBudgets } from "./child_budgets.ts";
import type { Journal } from "./journal.ts";
import type { OwnedShard } from "./owned_shard.ts";
import type { Upstreams } from "./upstreams.ts";

const SWEEP_INTERVAL_MS = 1_000;
const PIN_SWEEP_INTERVAL_MS = 5_000;
/** Ledgers of ended programs are retained this long to answer retries. */
const RETENTION_MS = 600_000;

/**
 * Periodically ends idle programs, releases the caches that engines hold for
 * ended programs, returns the unspent budget of sub-agents to their parents and
 * deletes ledgers after the retention period.
 */
export class Reaper {
  readonly #timer: Timer;
  readonly #timeline: Timeline;
  readonly #log: Logger;
  readonly #journal: Journal;
  readonly #childBudgets: ChildBudgets;
  readonly #upstreams: Upstreams;
  readonly #placementQueue: PlacementQueue;
  readonly #shards: ReadonlyMap<number, OwnedShard>;
  readonly #busyPrograms = new Set<string>();

  constructor(
    opts: {
      timer: Timer;
      timeline: Timeline;
      log: Logger;
      journal: Journal;
      childBudgets: ChildBudgets;
      upstreams: Upstreams;
      placementQueue: PlacementQueue;
      shards: ReadonlyMap<number, OwnedShard>;
    },
  ) {
    this.#timer = opts.timer;
    this.#timeline = opts.timeline;
    this.#log = opts.log;
    this.#journal = opts.journal;
    this.#childBudgets = opts.childBudgets;
    this.#upstreams = opts.upstreams;
    this.#placementQueue = opts.placementQueue;
    this.#shards = opts.shards;
    this.#timer.every(SWEEP_INTERVAL_MS, () => this.#sweepPrograms());
    this.#timer.every(PIN_SWEEP_INTERVAL_MS, () => this.#sweepPins());
  }

  /** Ends a program and starts to release its resources. */
  async endProgram(
    shard: OwnedShard,
    program: string,
    reason: EndReason,
  ): Promise<void> {
    const at = this.#timer.now();
    await this.#journal.commit(shard, {
      kind: "program_ended",
      program,
      reason,
      at,
    });
    this.#placementQueue.dispatcher.removeProgram(program);
    this.#timeline.record({
      part: "program",
      kind: "program_ended",
      program,
      detail: reason,
    });
    const ledger = shard.ledgers.get(program);
    if (ledger) this.#releaseResources(shard, ledger);
  }

  #sweepPrograms(): void {
    for (const shard of this.#shards.values()) {
      if (shard.state !== "serving") continue;
      for (const ledger of shard.ledgers.values()) {
        this.#sweepLedger(shard, ledger);
      }
    }
  }

  #sweepLedger(shard: OwnedShard, ledger: Ledger): void {
    const idleMs = this.#timer.now() - ledger.lastActiveAt;
    if (ledger.state === "running") {
      const isIdle = idleMs >= ledger.idleLimitMs &&
        !shard.callsInFlight.has(ledger.program);
      if (isIdle) {
        this.#runExclusive(ledger, () => this.#endIdle(shard, ledger));
      }
      return;
    }
    const hasNoResources = ledger.engines.length === 0 && ledger.parentSettled;
    if (!hasNoResources) this.#releaseResources(shard, ledger);
    else if (idleMs >= RETENTION_MS) this.#forgetProgram(shard, ledger);
  }

  async #endIdle(shard: OwnedShard, ledger: Ledger): Promise<void> {
    await this.endProgram(shard, ledger.program, "idle");
  }

  #forgetProgram(shard: OwnedShard, { program }: Ledger): void {
    this.#journal.append(shard, { kind: "program_forgotten", program });
  }

  #releaseResources(shard: OwnedShard, ledger: Ledger): void {
    this.#runExclusive(ledger, async () => {
      await Promise.all([
        ...ledger.engines.map((name) =>
          this.#releaseCache(shard, ledger, name)
        ),
        this.#settleParent(shard, ledger),
      ]);
    });
  }

  async #releaseCache(
    shard: OwnedShard,
    { program }: Ledger,
    upstream: string,
  ): Promise<void> {
    const engine = this.#upstreams.engine(upstream);
    const isReleased = engine ? await engine.release(program) : true;
    if (!isReleased) return;
    this.#journal.append(shard, { kind: "memory_released", program, upstream });
  }

  async #settleParent(shard: OwnedShard, ledger: Ledger): Promise<void> {
    const { parent, program } = ledger;
    if (parent === undefined || ledger.parentSettled) return;
    await this.#childBudgets.settle({
      parent,
      child: program,
      spentTokens: ledger.spentTokens,
    });
    this.#journal.append(shard, { kind: "parent_settled", program });
  }

  /** Releases the caches that engines hold for programs that do not run. */
  async #sweepPins(): Promise<void> {
    for (const { name, client } of this.#upstreams.engines()) {
      const pinnedPrograms = await client.listPinnedPrograms().catch(() => []);
      for (const program of pinnedPrograms) {
        if (!this.#isOrphaned(program)) continue;
        this.#log.info(
          `released orphaned cache of program ${program} on engine ${name}`,
        );
        await client.release(program).catch(() => false);
      }
    }
  }

  /**
   * Whether a program does not run. Only the owner of its shard knows this; any
   * other daemon gets false.
   */
  #isOrphaned(program: string): boolean {
    const shardNumber = shardOfProgram(program);
    if (shardNumber === undefined) return false;
    const shard = this.#shards.get(shardNumber);
    if (shard?.state !== "serving") return false;
    return shard.ledgers.get(program)?.state !== "running";
  }

  #runExclusive(ledger: Ledger, task: () => Promise<void>): void {
    const { program } = ledger;
    if (this.#busyPrograms.has(program)) return;
    this.#busyPrograms.add(program);
    task().catch(() => {}).finally(() => this.#busyPrograms.delete(program));
  }
}

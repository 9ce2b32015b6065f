import type { Logger } from "@toucantrestle/log";
import { shardOfProgram } from "@toucantrestle/membership";
import type { EndReason, Ledger } from "@toucantrestle/program";
import type { Timeline } from "@toucantrestle/timeline";
import type { Timer } from "@toucantrestle/timer";
import type { DispatchDesk } from "./dispatch_desk.ts";
import type { Families } from "./families.ts";
import type { Journal } from "./journal.ts";
import type { OwnedShard } from "./owned_shard.ts";
import type { Upstreams } from "./upstreams.ts";

const SWEEP_MS = 1_000;
const PINS_SWEEP_MS = 5_000;
/** Ledgers of ended programs are kept this long, for repeated requests. */
const RETENTION_MS = 600_000;

/**
 * Ends idle programs, releases the memory that engines hold for ended ones,
 * settles sub-agents' budgets and forgets old ledgers.
 */
export class Reaper {
  readonly #timer: Timer;
  readonly #timeline: Timeline;
  readonly #log: Logger;
  readonly #journal: Journal;
  readonly #families: Families;
  readonly #upstreams: Upstreams;
  readonly #desk: DispatchDesk;
  readonly #shards: ReadonlyMap<number, OwnedShard>;
  readonly #busy = new Set<string>();

  constructor(
    opts: {
      timer: Timer;
      timeline: Timeline;
      log: Logger;
      journal: Journal;
      families: Families;
      upstreams: Upstreams;
      desk: DispatchDesk;
      shards: ReadonlyMap<number, OwnedShard>;
    },
  ) {
    this.#timer = opts.timer;
    this.#timeline = opts.timeline;
    this.#log = opts.log;
    this.#journal = opts.journal;
    this.#families = opts.families;
    this.#upstreams = opts.upstreams;
    this.#desk = opts.desk;
    this.#shards = opts.shards;
    this.#timer.every(SWEEP_MS, () => this.#sweep());
    this.#timer.every(PINS_SWEEP_MS, () => this.#sweepPins());
  }

  /** Ends a program and starts to release what it holds. */
  async end(
    shard: OwnedShard,
    program: string,
    reason: EndReason,
  ): Promise<void> {
    const at = this.#timer.now();
    await this.#journal.keep(shard, {
      kind: "program_ended",
      program,
      reason,
      at,
    });
    this.#desk.dispatcher.removeProgram(program);
    this.#timeline.record({
      part: "program",
      kind: "program_ended",
      program,
      detail: reason,
    });
    const ledger = shard.ledgers.get(program);
    if (ledger) this.#tidy(shard, ledger);
  }

  #sweep(): void {
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
        !shard.attempts.has(ledger.program);
      if (isIdle) this.#once(ledger, () => this.#endIdle(shard, ledger));
      return;
    }
    const isTidy = ledger.engines.length === 0 && ledger.parentSettled;
    if (!isTidy) this.#tidy(shard, ledger);
    else if (idleMs >= RETENTION_MS) this.#forget(shard, ledger);
  }

  async #endIdle(shard: OwnedShard, ledger: Ledger): Promise<void> {
    await this.end(shard, ledger.program, "idle");
  }

  #forget(shard: OwnedShard, { program }: Ledger): void {
    this.#journal.append(shard, { kind: "program_forgotten", program });
  }

  #tidy(shard: OwnedShard, ledger: Ledger): void {
    this.#once(ledger, async () => {
      await Promise.all([
        ...ledger.engines.map((name) => this.#release(shard, ledger, name)),
        this.#settleParent(shard, ledger),
      ]);
    });
  }

  async #release(
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
    await this.#families.settle({
      parent,
      child: program,
      spentTokens: ledger.spentTokens,
    });
    this.#journal.append(shard, { kind: "parent_settled", program });
  }

  /** Releases what engines hold for programs that are not known as running. */
  async #sweepPins(): Promise<void> {
    for (const { name, client } of this.#upstreams.engines()) {
      const pins = await client.listPinnedPrograms().catch(() => []);
      for (const program of pins) {
        if (!this.#isLeftOver(program)) continue;
        this.#log.info(`released left-over cache of ${program} on ${name}`);
        await client.release(program).catch(() => false);
      }
    }
  }

  /** Only the owner of a program's shard can tell. */
  #isLeftOver(program: string): boolean {
    const number = shardOfProgram(program);
    if (number === undefined) return false;
    const shard = this.#shards.get(number);
    if (shard?.state !== "serving") return false;
    return shard.ledgers.get(program)?.state !== "running";
  }

  #once(ledger: Ledger, task: () => Promise<void>): void {
    const { program } = ledger;
    if (this.#busy.has(program)) return;
    this.#busy.add(program);
    task().catch(() => {}).finally(() => this.#busy.delete(program));
  }
}

import { shardOfProgram } from "@toucantrestle/membership";
import type { SiblingNet } from "@toucantrestle/sibling";
import { sleep, type Timer } from "@toucantrestle/timer";
import type { LateOutcome } from "./call_context.ts";
import { relocated } from "./errors.ts";
import type { Journal } from "./journal.ts";
import type { Ownership } from "./ownership.ts";
import type { StoreView } from "./store_view.ts";

const ATTEMPTS = 60;
const RETRY_MS = 500;
const RPC_TIMEOUT_MS = 1_000;

/** Brings late outcomes to the owner of their program, whoever that is now. */
export class LateOutcomes {
  readonly #timer: Timer;
  readonly #journal: Journal;
  readonly #ownership: Ownership;
  readonly #view: StoreView;
  readonly #net: () => SiblingNet;

  constructor(
    opts: {
      timer: Timer;
      journal: Journal;
      ownership: Ownership;
      view: StoreView;
      net: () => SiblingNet;
    },
  ) {
    this.#timer = opts.timer;
    this.#journal = opts.journal;
    this.#ownership = opts.ownership;
    this.#view = opts.view;
    this.#net = opts.net;
  }

  /** Tries for half a minute to have the outcome recorded. */
  async report(late: LateOutcome): Promise<void> {
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
      try {
        await this.#send(late);
        return;
      } catch {
        await sleep(this.#timer, RETRY_MS);
      }
    }
  }

  /** Records the outcome of a program that is owned here. */
  async recordHere(late: LateOutcome): Promise<void> {
    const number = shardOfProgram(late.program) ?? 0;
    const shard = this.#ownership.serving(number);
    if (!shard) throw relocated(number, "not_run");
    await this.#journal.keep(shard, {
      kind: "call_finished",
      ...late,
      spentTokens: 0,
      at: this.#timer.now(),
    });
  }

  async #send(late: LateOutcome): Promise<void> {
    const number = shardOfProgram(late.program) ?? 0;
    if (this.#ownership.serving(number)) return await this.recordHere(late);
    const owner = this.#view.shards.get(number)?.record.owner;
    if (!owner) throw relocated(number, "not_run");
    const session = this.#net().requireSession(owner);
    await session.rpc("late_outcome", late, RPC_TIMEOUT_MS);
  }
}

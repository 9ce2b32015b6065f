import { sleep, type Timer } from "@toucantrestle/timer";
import type { LateOutcome } from "./call_context.ts";
import type { Journal } from "./journal.ts";
import type { OwnerRoute } from "./owner_route.ts";

const ATTEMPTS = 60;
const RETRY_MS = 500;
const RPC_TIMEOUT_MS = 1_000;

/** Brings late outcomes to the owner of their program, whoever that is now. */
export class LateOutcomes {
  readonly #timer: Timer;
  readonly #journal: Journal;
  readonly #owners: OwnerRoute;

  constructor(opts: { timer: Timer; journal: Journal; owners: OwnerRoute }) {
    this.#timer = opts.timer;
    this.#journal = opts.journal;
    this.#owners = opts.owners;
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
    const shard = this.#owners.here(late.program);
    await this.#journal.keep(shard, {
      kind: "call_finished",
      ...late,
      spentTokens: 0,
      at: this.#timer.now(),
    });
  }

  async #send(late: LateOutcome): Promise<void> {
    if (this.#owners.isHere(late.program)) return await this.recordHere(late);
    const session = this.#owners.session(late.program);
    await session.rpc("late_outcome", late, RPC_TIMEOUT_MS);
  }
}

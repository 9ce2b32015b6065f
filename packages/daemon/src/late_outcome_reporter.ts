import { sleep, type Timer } from "@toucantrestle/timer";
import type { LateOutcome } from "./call_context.ts";
import type { Journal } from "./journal.ts";
import type { OwnerLookup } from "./owner_lookup.ts";

const MAX_ATTEMPTS = 60;
const RETRY_MS = 500;
const RPC_TIMEOUT_MS = 1_000;

/**
 * Reports late outcomes, which arrive after the caller was sent a response, to
 * the current owner of the program.
 */
export class LateOutcomeReporter {
  readonly #timer: Timer;
  readonly #journal: Journal;
  readonly #ownerLookup: OwnerLookup;

  constructor(
    opts: { timer: Timer; journal: Journal; ownerLookup: OwnerLookup },
  ) {
    this.#timer = opts.timer;
    this.#journal = opts.journal;
    this.#ownerLookup = opts.ownerLookup;
  }

  /** Reports an outcome; retries for about 30 s, then drops it. */
  async report(late: LateOutcome): Promise<void> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      try {
        await this.#send(late);
        return;
      } catch {
        await sleep(this.#timer, RETRY_MS);
      }
    }
  }

  /** Records the outcome of a program that this daemon owns. */
  async recordLocally(late: LateOutcome): Promise<void> {
    const shard = this.#ownerLookup.requireLocalShard(late.program);
    await this.#journal.commit(shard, {
      kind: "call_finished",
      ...late,
      spentTokens: 0,
      at: this.#timer.now(),
    });
  }

  async #send(late: LateOutcome): Promise<void> {
    if (this.#ownerLookup.isLocal(late.program)) {
      return await this.recordLocally(late);
    }
    const session = this.#ownerLookup.requireSession(late.program);
    await session.rpc("late_outcome", late, RPC_TIMEOUT_MS);
  }
}

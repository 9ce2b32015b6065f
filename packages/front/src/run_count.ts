import {
  canResumeStream,
  decideFailureAction,
  type FailureAction,
  isRetrySafe,
  type UpstreamEntry,
} from "@toucantrestle/routing";
import { isListening } from "@toucantrestle/upstream_channel";
import type { Call } from "./call.ts";
import { mayHaveCrashed, type PathFailure } from "./path_failure.ts";
import type { ServeOptions } from "./serve_options.ts";

/**
 * Maximum number of runs on upstreams that crashed or were cut off that do not
 * count against the run limit. A call during which more upstreams crash may
 * itself be the cause.
 */
const MAX_DISCOUNTED_RUNS = 1;

/** Dependencies of `RunCount`. */
export type RunCountOptions = Pick<
  ServeOptions,
  "directPath" | "dial" | "timer" | "upstreamRegistry"
>;

/** Counts the runs of a call on upstreams, and decides whether it may go on. */
export class RunCount {
  readonly #call: Call;
  readonly #opts: RunCountOptions;
  #runs = 0;
  #declines = 0;
  #discountedRuns = 0;

  constructor(
    call: Call,
    opts: RunCountOptions,
  ) {
    this.#call = call;
    this.#opts = opts;
  }

  /** Runs that count against the limit of the route. */
  get runs(): number {
    return this.#runs;
  }

  /** Attempts after which the call had certainly not run. */
  get declines(): number {
    return this.#declines;
  }

  /** Whether the route allows another run after the present one. */
  get mayRunAgain(): boolean {
    return this.#runs + 1 < this.#call.route.maxRuns;
  }

  /** Counts an attempt that has ended without a complete response. */
  count(verdict: PathFailure["verdict"]): void {
    if (verdict === "not_run") this.#declines += 1;
    else this.#runs += 1;
  }

  /**
   * Does not count a run against the limit if its upstream has crashed or was
   * cut off from this front.
   */
  async discountLostRun(
    entry: UpstreamEntry,
    failure: PathFailure,
  ): Promise<void> {
    const { route } = this.#call;
    const isLost = mayHaveCrashed(failure) || failure.reason === "path_lost";
    if (!isLost || !isRetrySafe(route)) return;
    if (this.#runs < route.maxRuns) return;
    if (this.#discountedRuns >= MAX_DISCOUNTED_RUNS) return;
    if (!await this.#isOutOfReach(entry, failure)) return;
    this.#discountedRuns += 1;
    this.#runs -= 1;
  }

  /** Whether an interrupted stream may be resumed on another upstream. */
  canResume(): boolean {
    return canResumeStream({ route: this.#call.route, ...this.#state });
  }

  /** Returns the action after a failure of which the caller knows nothing. */
  nextAction(verdict: PathFailure["verdict"]): FailureAction {
    const { route } = this.#call;
    return decideFailureAction({ route, verdict, ...this.#state });
  }

  get #state() {
    return {
      runs: this.#runs,
      declines: this.#declines,
      timeLeftMs: this.#call.deadlineAt - this.#opts.timer.monotonicNow(),
    };
  }

  async #isOutOfReach(
    entry: UpstreamEntry,
    failure: PathFailure,
  ): Promise<boolean> {
    if (failure.reason === "path_lost") return true;
    // What listens there now is another process.
    if (!this.#opts.upstreamRegistry.isCurrent(entry)) return true;
    if (this.#opts.directPath.isCut) return false;
    return !await isListening(entry.address, this.#opts.dial);
  }
}

import { isInterruptedCall } from "@toucantrestle/engine";
import type { Suspect } from "@toucantrestle/policy";
import { sleep } from "@toucantrestle/timer";
import {
  type RequestError,
  UpstreamError,
  type Verdict,
} from "@toucantrestle/verdict";
import type { CallContext } from "./call_context.ts";
import type { Placement } from "./dispatch_desk.ts";
import { convictedError } from "./isolation.ts";
import { isUnsent } from "./try_upstreams.ts";

/** The request that a guard watches over. */
export interface GuardedRequest {
  fingerprint: string;
  program: string;
  caller: string;
  /** Time until which it may wait, in ms since the epoch. */
  deadlineAt: number;
}

const CRASH_CHECKS = 4;
const CRASH_CHECK_GAP_MS = 30;

/** Runs suspects of a crash alone and convicts those that crash again. */
export class CrashGuard {
  readonly #ctx: CallContext;
  readonly #request: GuardedRequest;

  constructor(ctx: CallContext, request: GuardedRequest) {
    this.#ctx = ctx;
    this.#request = request;
  }

  /**
   * Runs a try on an engine.
   *
   * @throws {RequestError} of status 422 when the request was convicted
   */
  async run<T>(
    placement: Placement,
    opts: { run: () => Promise<T>; release: () => void },
  ): Promise<T> {
    const { isolation, timer } = this.#ctx;
    const { fingerprint } = this.#request;
    if (isolation.isSuspect(fingerprint)) {
      const suspect = { fingerprint, startedAt: timer.now() };
      await this.#enter(suspect, opts.release);
      await this.#checkAlive(placement, opts.release);
    }
    // A conviction meanwhile may have cleared the suspicion.
    const isAlone = isolation.isSuspect(fingerprint);
    try {
      const result = await opts.run();
      if (isAlone) await isolation.acquit(fingerprint);
      return result;
    } catch (err) {
      const hasCrashed = isInterruptedCall(err) &&
        await this.#hasCrashed(placement.upstream);
      if (hasCrashed && isAlone) throw await this.#convict();
      if (hasCrashed) isolation.suspect(fingerprint);
      else if (isAlone) await isolation.acquit(fingerprint);
      throw err;
    }
  }

  async #enter(suspect: Suspect, release: () => void): Promise<void> {
    try {
      await this.#ctx.isolation.enter(suspect, this.#request.deadlineAt);
    } catch (err) {
      release();
      throw err;
    }
  }

  /** The engine may have crashed while the call waited for its turn. */
  async #checkAlive(
    placement: Placement,
    release: () => void,
  ): Promise<void> {
    if (!await this.#hasCrashed(placement.upstream)) return;
    release();
    await this.#ctx.isolation.yieldTurn(this.#request.fingerprint);
    throw goneError(placement.upstream);
  }

  /** An engine that cut a stream and still answers has not crashed. */
  async #hasCrashed(upstream: string): Promise<boolean> {
    const engine = this.#ctx.upstreams.engine(upstream);
    for (let tries = 0; tries < CRASH_CHECKS; tries++) {
      try {
        await engine?.fetchLoad();
        return false;
      } catch (err) {
        if (isUnsent(err)) return true;
        // A connection kept from before the crash fails once more.
        await sleep(this.#ctx.timer, CRASH_CHECK_GAP_MS);
      }
    }
    return true;
  }

  async #convict(): Promise<RequestError> {
    const { fingerprint, program, caller } = this.#request;
    await this.#ctx.isolation.convict({
      fingerprint,
      program,
      caller,
      at: this.#ctx.timer.now(),
    });
    return convictedError("may_have_run");
  }
}

/** An upstream that was placed is not there any more. */
export function goneError(upstream: string): RequestError {
  const verdict: Verdict = "not_run";
  return new UpstreamError(`upstream ${upstream} is gone`, {
    props: { verdict },
  });
}

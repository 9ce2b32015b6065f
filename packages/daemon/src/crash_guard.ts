import { isInterruptedCall } from "@toucantrestle/engine";
import type { Suspect } from "@toucantrestle/policy";
import { sleep } from "@toucantrestle/timer";
import {
  type RequestError,
  UpstreamError,
  type Verdict,
} from "@toucantrestle/verdict";
import type { CallContext } from "./call_context.ts";
import type { Placement } from "./placement_queue.ts";
import { createConvictedError } from "./isolation.ts";
import { hasNotRunVerdict } from "./try_upstreams.ts";

/** The request that a `CrashGuard` runs. */
export interface GuardedRequest {
  fingerprint: string;
  program: string;
  caller: string;
  /** Latest time to wait for an isolated run, in ms since the epoch. */
  deadlineAt: number;
}

const MAX_CRASH_CHECKS = 4;
const CRASH_CHECK_INTERVAL_MS = 30;

/**
 * Runs requests on engines and detects engine crashes. A request that was in
 * flight at a crash is a suspect: it is run isolated from other suspects and
 * convicted if its engine crashes again.
 */
export class CrashGuard {
  readonly #ctx: CallContext;
  readonly #request: GuardedRequest;

  constructor(ctx: CallContext, request: GuardedRequest) {
    this.#ctx = ctx;
    this.#request = request;
  }

  /**
   * Runs an attempt on an engine.
   *
   * @throws {RequestError} with status 422 if the request was convicted
   */
  async run<T>(
    placement: Placement,
    opts: { run: () => Promise<T>; release: () => void },
  ): Promise<T> {
    const { isolation, timer } = this.#ctx;
    const { fingerprint } = this.#request;
    if (isolation.isSuspect(fingerprint)) {
      const suspect = { fingerprint, startedAt: timer.now() };
      await this.#waitForTurn(suspect, opts.release);
      await this.#requireEngineAlive(placement, opts.release);
    }
    // The conviction of another request may have cleared the suspicion meanwhile.
    const isIsolated = isolation.isSuspect(fingerprint);
    try {
      const result = await opts.run();
      if (isIsolated) await isolation.acquit(fingerprint);
      return result;
    } catch (err) {
      const hasCrashed = isInterruptedCall(err) &&
        await this.#hasCrashed(placement.upstream);
      if (hasCrashed && isIsolated) throw await this.#convictRequest();
      if (hasCrashed) isolation.reportSuspect(fingerprint);
      else if (isIsolated) await isolation.acquit(fingerprint);
      throw err;
    }
  }

  async #waitForTurn(suspect: Suspect, release: () => void): Promise<void> {
    try {
      await this.#ctx.isolation.waitForTurn(suspect, this.#request.deadlineAt);
    } catch (err) {
      release();
      throw err;
    }
  }

  /** Ensures that the engine did not crash while the call waited for its turn. */
  async #requireEngineAlive(
    placement: Placement,
    release: () => void,
  ): Promise<void> {
    if (!await this.#hasCrashed(placement.upstream)) return;
    release();
    await this.#ctx.isolation.returnTurn(this.#request.fingerprint);
    throw createUpstreamUnavailableError(placement.upstream);
  }

  /** An engine that broke off a stream but still responds has not crashed. */
  async #hasCrashed(upstream: string): Promise<boolean> {
    const engine = this.#ctx.upstreams.engine(upstream);
    for (let checks = 0; checks < MAX_CRASH_CHECKS; checks++) {
      try {
        await engine?.fetchLoad();
        return false;
      } catch (err) {
        if (hasNotRunVerdict(err)) return true;
        // A keep-alive connection opened before the crash fails once more.
        await sleep(this.#ctx.timer, CRASH_CHECK_INTERVAL_MS);
      }
    }
    return true;
  }

  async #convictRequest(): Promise<RequestError> {
    const { fingerprint, program, caller } = this.#request;
    await this.#ctx.isolation.convict({
      fingerprint,
      program,
      caller,
      at: this.#ctx.timer.now(),
    });
    return createConvictedError("may_have_run");
  }
}

/** Creates the error of a call whose placed upstream is no longer available. */
export function createUpstreamUnavailableError(upstream: string): RequestError {
  const verdict: Verdict = "not_run";
  return new UpstreamError(`upstream ${upstream} is no longer available`, {
    props: { verdict },
  });
}

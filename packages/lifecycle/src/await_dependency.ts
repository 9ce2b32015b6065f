import type { Logger } from "@toucantrestle/log";
import type { Timer } from "@toucantrestle/timer";
import { ExitError, type ExitReason } from "./exit.ts";

/** Something that a process needs before it can serve. */
export interface Dependency<T> {
  /** Name in the log, such as `port 10.1.0.38:8144`. */
  name: string;
  /** Tries to get it; throws or rejects if it isn't available. */
  attempt: () => T | Promise<T>;
  /** Whether it may become available after this error. Defaults to always. */
  isTemporary?: (err: unknown) => boolean;
  /** Time after which the wait is given up, in ms. */
  timeoutMs: number;
  /** Time between two attempts, in ms. */
  retryMs: number;
  /** Why the process ends if it stays unavailable. */
  reason: ExitReason;
}

/** What a wait uses. */
export interface AwaitOptions {
  timer: Timer;
  log: Logger;
  /** Whether the process stops, so that nothing is awaited any longer. */
  isStopping?: () => boolean;
  /** Time between two log lines of a wait that goes on, in ms. */
  logIntervalMs?: number;
}

/** The process stops, so that a dependency is not awaited any longer. */
export class StoppedWaitingError extends Error {
  override name = "StoppedWaitingError";
}

const LOG_INTERVAL_MS = 5_000;

/**
 * Tries to get a dependency until it is available. Logs the beginning, the
 * progress and the end of a wait. An attempt that does not end is waited for,
 * and not made a second time beside it.
 *
 * @throws {ExitError} if it stays unavailable, or if no wait can help
 * @throws {StoppedWaitingError} if the process stops meanwhile
 */
export async function awaitDependency<T>(
  dependency: Dependency<T>,
  { timer, log, isStopping = () => false, logIntervalMs = LOG_INTERVAL_MS }:
    AwaitOptions,
): Promise<T> {
  const { name, attempt, isTemporary = () => true } = dependency;
  const startedAt = timer.monotonicNow();
  const waitedMs = () => Math.round(timer.monotonicNow() - startedAt);
  let loggedAt = -Infinity;
  const logWait = (reason: string) => {
    if (timer.monotonicNow() - loggedAt < logIntervalMs) return;
    loggedAt = timer.monotonicNow();
    log.warn(`waiting for ${name}: ${reason}`, {
      event: "dependency_awaited",
      waitedMs: waitedMs(),
      timeoutMs: dependency.timeoutMs,
    });
  };
  while (true) {
    const leftMs = dependency.timeoutMs - waitedMs();
    try {
      const value = await untilTimeout(attempt, {
        timer,
        timeoutMs: Math.max(leftMs, dependency.retryMs),
        onSlow: () => logWait("it does not respond"),
      });
      if (loggedAt > -Infinity) {
        log.info(`${name} is available after ${waitedMs()} ms`, {
          event: "dependency_available",
          waitedMs: waitedMs(),
        });
      }
      return value;
    } catch (err) {
      if (err instanceof ExitError) throw err;
      const reason = err instanceof Error ? err.message : String(err);
      const isLasting = !isTemporary(err);
      if (isLasting || waitedMs() >= dependency.timeoutMs) {
        const after = isLasting ? "" : ` after ${waitedMs()} ms`;
        throw new ExitError(
          dependency.reason,
          `${name} is unavailable${after}: ${reason}`,
          { cause: err },
        );
      }
      logWait(reason);
    }
    if (isStopping()) throw new StoppedWaitingError(`no longer awaits ${name}`);
    await new Promise<void>((resolve) => {
      timer.after(dependency.retryMs, resolve);
    });
    if (isStopping()) throw new StoppedWaitingError(`no longer awaits ${name}`);
  }
}

/** Makes an attempt; rejects if it has not ended in time. */
function untilTimeout<T>(
  attempt: () => T | Promise<T>,
  { timer, timeoutMs, onSlow }: {
    timer: Timer;
    timeoutMs: number;
    onSlow: () => void;
  },
): Promise<T> {
  return new Promise((resolve, reject) => {
    const subscriptions = [
      timer.after(
        timeoutMs,
        () => reject(new Error("it does not respond")),
      ),
      timer.every(LOG_INTERVAL_MS, onSlow),
    ];
    runAttempt(attempt).then(resolve, reject).finally(() => {
      for (const it of subscriptions) it.cancel();
    });
  });
}

async function runAttempt<T>(attempt: () => T | Promise<T>): Promise<T> {
  return await attempt();
}

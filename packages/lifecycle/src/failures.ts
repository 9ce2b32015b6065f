/**
 * Errors that nothing else handles. They are logged and counted; a process that
 * has started goes on.
 *
 * @module
 */
import type { Logger } from "@toucantrestle/log";
import process from "node:process";
import { exitNow } from "./exit.ts";

/** Kinds of errors that nothing handles. */
type FailureKind = "uncaught_error" | "unhandled_rejection";

/** Counts and logs the errors that nothing else handles. */
export class FailureGuard {
  readonly #program: string;
  #log: Logger | undefined;
  #count = 0;

  constructor(program: string) {
    this.#program = program;
  }

  /** Number of errors that nothing else handled. */
  get count(): number {
    return this.#count;
  }

  /**
   * The process has a log and goes on from now on, whatever fails. Before that,
   * an error ends it: there is nothing yet that could go on.
   */
  goOn(log: Logger): void {
    this.#log = log;
  }

  /** Handles an error that nothing else handled. */
  receive(kind: FailureKind, err: unknown): void {
    const text = err instanceof Error ? err.stack ?? err.message : String(err);
    if (!this.#log) exitNow("start_failed", text, this.#program);
    this.#count += 1;
    this.#log.error(`error that nothing handles: ${text}`, { event: kind });
  }
}

/**
 * Takes the errors that nothing else handles, and those of standard output and
 * standard error, whose reader may be gone or whose disk may be full.
 */
export function guardFailures(program: string): FailureGuard {
  const guard = new FailureGuard(program);
  process.on(
    "uncaughtException",
    (err) => guard.receive("uncaught_error", err),
  );
  process.on(
    "unhandledRejection",
    (err) => guard.receive("unhandled_rejection", err),
  );
  // The log counts the lines that it could not write.
  process.stdout.on("error", () => {});
  process.stderr.on("error", () => {});
  return guard;
}

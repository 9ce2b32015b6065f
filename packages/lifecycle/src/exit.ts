/**
 * The reasons for which a process ends by itself. Nothing else may end it.
 *
 * @module
 */
import type { LogFields, Logger } from "@toucantrestle/log";
import { writeSync } from "node:fs";
import process from "node:process";

/** Why a process ends by itself. */
export type ExitReason =
  | "stopped"
  | "stop_failed"
  | "start_failed"
  | "invalid_arguments"
  | "invalid_settings"
  | "port_unavailable"
  | "disk_unavailable";

/** How a process ends for one reason. */
export interface ExitRule {
  /** Exit status of the process. */
  status: number;
  /** What the reason means, for operators. */
  meaning: string;
}

/** Exit status and meaning of each reason. */
export const EXIT_RULES: Readonly<Record<ExitReason, ExitRule>> = {
  stopped: {
    status: 0,
    meaning: "a signal asked for it, and what was in progress is finished",
  },
  stop_failed: {
    status: 5,
    meaning: "a signal asked for it, and an error ended the stop too early",
  },
  start_failed: {
    status: 1,
    meaning: "the program failed before it served anything",
  },
  invalid_arguments: {
    status: 2,
    meaning: "an argument or an environment variable is missing or invalid",
  },
  invalid_settings: {
    status: 2,
    meaning: "the settings stayed missing or invalid for their waiting time",
  },
  port_unavailable: {
    status: 3,
    meaning: "a port stayed in use for its waiting time",
  },
  disk_unavailable: {
    status: 4,
    meaning: "the data folder stayed unusable for its waiting time",
  },
};

const STDERR_FD = 2;
/** Time in which the last lines of the log may be written, in ms. */
const FLUSH_TIMEOUT_MS = 200;
/** Calls of the system that the runtime awaits before it exits, as it names them. */
const DISK_CALLS = new Set(["FSReqPromise", "FSReqCallback"]);
/** Time in which they may return, in ms. */
const DISK_TIMEOUT_MS = 1_500;
const DISK_POLL_MS = 20;

/** An error that ends the process for a reason of the table. */
export class ExitError extends Error {
  override name = "ExitError";
  readonly reason: ExitReason;

  constructor(reason: ExitReason, message: string, opts?: ErrorOptions) {
    super(message, opts);
    this.reason = reason;
  }
}

/** Options of `endProcess`. */
export interface EndOptions {
  /** Name of the program, which begins the line on standard error. */
  program: string;
  /** Log of the process, if it has one already. */
  log?: Logger;
  fields?: LogFields;
}

/**
 * Ends the process with a line that names the reason: in the log, and unless it
 * was asked to stop, on standard error. Never returns to its caller.
 */
export function endProcess(
  reason: ExitReason,
  message: string,
  { program, log, fields }: EndOptions,
): Promise<never> {
  const { status } = EXIT_RULES[reason];
  const level = status === 0 ? "info" : "error";
  log?.[level](message, { event: "ended", reason, status, ...fields });
  if (status !== 0) writeToStderr(`${program}: ${message}\n`);
  return exitOnceFlushed(status, program);
}

/** Ends the process at once, before it has a log. */
export function exitNow(
  reason: ExitReason,
  message: string,
  program: string,
): never {
  const { status } = EXIT_RULES[reason];
  writeToStderr(`${program}: ${message}\n`);
  process.exit(status);
}

function writeToStderr(text: string): void {
  try {
    writeSync(STDERR_FD, text);
  } catch {
    // Standard error may be closed or full; the exit status remains.
  }
}

/** Waits for the log's last lines; a reader that is gone is not waited for. */
function exitOnceFlushed(status: number, program: string): Promise<never> {
  return new Promise(() => {
    let isExiting = false;
    const exit = () => {
      if (!isExiting) exitOnceReturned(status, program);
      isExiting = true;
    };
    if (process.stdout.writableLength === 0) return exit();
    process.stdout.once("drain", exit);
    process.stdout.once("error", exit);
    setTimeout(exit, FLUSH_TIMEOUT_MS);
  });
}

/**
 * Exits once the disk has returned from what it was asked for. The runtime would
 * wait for that without end; a disk that does not return in time is not waited
 * for, at the price of the exit status.
 */
async function exitOnceReturned(
  status: number,
  program: string,
): Promise<void> {
  const deadline = performance.now() + DISK_TIMEOUT_MS;
  while (hasDiskCalls()) {
    if (performance.now() >= deadline) {
      writeToStderr(
        `${program}: ends by SIGKILL in place of status ${status}: the disk ` +
          `has not returned within ${DISK_TIMEOUT_MS} ms\n`,
      );
      process.kill(process.pid, "SIGKILL");
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, DISK_POLL_MS));
  }
  process.exit(status);
}

function hasDiskCalls(): boolean {
  return process.getActiveResourcesInfo().some((it) => DISK_CALLS.has(it));
}

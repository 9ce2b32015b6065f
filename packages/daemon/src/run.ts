/**
 * Life of the daemon's process: its signals, its start and the reasons for which
 * it ends.
 *
 * @module
 */
import {
  endProcess,
  ExitError,
  guardFailures,
  type ProcessSignals,
  takeSignals,
} from "@toucantrestle/lifecycle";
import { createLoggers, type Logger } from "@toucantrestle/log";
import { createSystemTimer } from "@toucantrestle/timer";
import { Daemon } from "./daemon.ts";
import { readDaemonSettings } from "./settings.ts";
import { awaitTlsFiles } from "./tls_files.ts";

const PROGRAM = "toucantrestled";

/** Signals of the process and the log of what happens to it. */
interface ProcessContext {
  signals: ProcessSignals;
  log: Logger;
}

/** Runs the process. It ends only for the reasons of `EXIT_RULES`. */
export async function runDaemon(): Promise<void> {
  const signals = takeSignals();
  const failures = guardFailures(PROGRAM);
  const cfg = readDaemonSettings(import.meta);
  const logs = createLoggers({
    host: cfg.host,
    format: cfg.logFormat,
    level: cfg.logLevel,
  });
  const log = logs("daemon");
  failures.goOn(log);
  handleSignals({ signals, log });
  try {
    const timer = createSystemTimer();
    const isStopping = () => signals.isStopRequested;
    const tls = await awaitTlsFiles(cfg, { timer, log, isStopping });
    const daemon = new Daemon(cfg, { timer, logs, tls });
    daemon.onStopped((err) => endStopped(err, log));
    signals.on("stop", (signal) => {
      logSignal(log, signal);
      daemon.stop();
    });
    await daemon.start();
  } catch (err) {
    endFailedStart(err, { signals, log });
  }
}

/** Handles the signals of a process that has nothing to finish yet. */
function handleSignals({ signals, log }: ProcessContext): void {
  signals.on("stop", (signal) => {
    logSignal(log, signal);
    endStopped(undefined, log);
  });
  signals.on(
    "reload",
    (signal) => log.info(`got ${signal}: there is nothing to reload`),
  );
  signals.on("nothing", (signal) => logSignal(log, signal));
}

function logSignal(log: Logger, signal: string): void {
  log.info(`got ${signal}`, { event: "signal", signal });
}

/** Ends a process that has stopped, or failed to finish its stop. */
function endStopped(err: unknown, log: Logger): void {
  const opts = { program: PROGRAM, log };
  if (err === undefined) endProcess("stopped", "stopped", opts);
  else {
    const message = `cannot finish the stop: ${errorText(err)}`;
    endProcess("stop_failed", message, opts);
  }
}

/** Ends a process that cannot start, unless a stop ends it. */
function endFailedStart(err: unknown, { signals, log }: ProcessContext): void {
  if (signals.isStopRequested) {
    log.info(`start is given up because of the stop: ${errorText(err)}`);
    return;
  }
  const reason = err instanceof ExitError ? err.reason : "start_failed";
  const text = err instanceof ExitError ? err.message : errorText(err);
  endProcess(reason, `cannot start: ${text}`, { program: PROGRAM, log });
}

function errorText(err: unknown): string {
  return err instanceof Error ? err.stack ?? err.message : String(err);
}

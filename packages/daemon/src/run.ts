/**
 * Life of the daemon's process: its signals, its start and the reasons for which
 * it ends.
 *
 * @module
 */
import {
  guardFailures,
  RunningProcess,
  takeSignals,
} from "@toucantrestle/lifecycle";
import { createLoggers } from "@toucantrestle/log";
import { createMetrics } from "@toucantrestle/metrics";
import { createSystemTimer } from "@toucantrestle/timer";
import { Daemon } from "./daemon.ts";
import { readDaemonSettings } from "./settings.ts";
import { watchMemory } from "./watch_memory.ts";
import { awaitTlsFiles } from "./tls_files.ts";

const PROGRAM = "toucantrestled";

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
  const running = new RunningProcess({ program: PROGRAM, signals, log });
  // Its settings are flags and environment variables.
  running.onReload(() => log.info("there is nothing to reload"));
  try {
    const timer = createSystemTimer();
    const isStopping = () => running.isStopping;
    const tls = await awaitTlsFiles(cfg, { timer, log, isStopping });
    const metrics = createMetrics({
      address: cfg.statsd,
      host: cfg.host,
      dataCentre: cfg.dataCentre,
    });
    const holders = watchMemory({ timer, metrics, log });
    const daemon = new Daemon(cfg, { timer, logs, metrics, holders, tls });
    const stopped = untilStopped(daemon);
    running.onStop(() => {
      daemon.stop();
      return stopped;
    });
    // Operators may drain the daemon as well.
    const stop = () => running.stop();
    stopped.then(stop, stop);
    await daemon.start();
  } catch (err) {
    running.endFailedStart(err);
  }
}

/** Resolves when the daemon has stopped; rejects if it could not finish. */
function untilStopped(daemon: Daemon): Promise<void> {
  return new Promise((resolve, reject) => {
    daemon.onStopped((err) => err === undefined ? resolve() : reject(err));
  });
}

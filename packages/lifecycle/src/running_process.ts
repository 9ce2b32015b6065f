import type { Logger } from "@toucantrestle/log";
import { endProcess, ExitError } from "./exit.ts";
import type { ProcessSignals } from "./signals.ts";

/** Options of `RunningProcess`. */
export interface RunningProcessOptions {
  /** Name of the program, which begins its lines on standard error. */
  program: string;
  signals: ProcessSignals;
  log: Logger;
}

/** Ends a process when it is asked to, or when its start has failed. */
export class RunningProcess {
  readonly #opts: RunningProcessOptions;
  #stop: () => void = () => {};

  /** A stop ends the process at once until `onStop` is called. */
  constructor(opts: RunningProcessOptions) {
    this.#opts = opts;
    this.onStop(() => Promise.resolve());
    opts.signals.on("nothing", (signal) => this.logSignal(signal));
  }

  /** Whether a signal has asked for a stop. */
  get isStopping(): boolean {
    return this.#opts.signals.isStopRequested;
  }

  /**
   * Sets what is finished before a signal ends the process, in place of what
   * was set before. It is called once, however many signals come; at once if
   * one has come and nothing was set then.
   */
  onStop(finish: () => Promise<void>): void {
    let isBegun = false;
    const stop = () => {
      if (isBegun) return;
      isBegun = true;
      finish().then(() => this.#endStopped(), (err) => this.#endStopped(err));
    };
    this.#stop = stop;
    this.#opts.signals.on("stop", (signal) => {
      this.logSignal(signal);
      stop();
    });
  }

  /** Stops the process as a signal does. */
  stop(): void {
    this.#stop();
  }

  /** Sets what a signal to reload does, in place of what was set before. */
  onReload(reload: () => void): void {
    this.#opts.signals.on("reload", (signal) => {
      this.logSignal(signal);
      reload();
    });
  }

  /** Ends the process because it cannot start, unless a stop ends it. */
  endFailedStart(err: unknown): void {
    const { program, log } = this.#opts;
    if (this.isStopping) {
      log.info(`start is given up because of the stop: ${textOf(err)}`);
      return;
    }
    const reason = err instanceof ExitError ? err.reason : "start_failed";
    const text = err instanceof ExitError ? err.message : textOf(err);
    endProcess(reason, `cannot start: ${text}`, { program, log });
  }

  /** Logs a signal that the process has got. */
  logSignal(signal: string): void {
    this.#opts.log.info(`got ${signal}`, { event: "signal", signal });
  }

  #endStopped(err?: unknown): void {
    const { program, log } = this.#opts;
    if (err === undefined) {
      endProcess("stopped", "stopped", { program, log });
    } else {
      const message = `cannot finish the stop: ${textOf(err)}`;
      endProcess("stop_failed", message, { program, log });
    }
  }
}

function textOf(err: unknown): string {
  return err instanceof Error ? err.stack ?? err.message : String(err);
}

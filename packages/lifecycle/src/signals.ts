/**
 * Signals of the operating system, taken before anything else is loaded: until
 * a process listens for a signal, that signal ends it.
 *
 * This module imports nothing but `node:process`, so that it can be evaluated
 * first.
 *
 * @module
 */
import process from "node:process";

/** What a signal asks of the process. */
export type SignalRequest = "stop" | "reload" | "nothing";

/** What each signal asks for that would end a process that does not listen. */
const REQUESTS = {
  SIGTERM: "stop",
  SIGINT: "stop",
  SIGHUP: "reload",
  SIGQUIT: "nothing",
  SIGUSR1: "nothing",
  SIGUSR2: "nothing",
  SIGALRM: "nothing",
} as const satisfies Partial<Record<NodeJS.Signals, SignalRequest>>;

type Handlers = Partial<Record<SignalRequest, (signal: string) => void>>;

/**
 * Receives the signals of a process. What arrives before there is a handler is
 * handed to the handler as soon as it is set.
 */
export class ProcessSignals {
  readonly #handlers: Handlers = {};
  readonly #waiting = new Map<SignalRequest, string>();
  #isStopRequested = false;

  /** Whether the process has been asked to stop. */
  get isStopRequested(): boolean {
    return this.#isStopRequested;
  }

  /** Records a signal, or hands it to the handler. */
  receive(signal: keyof typeof REQUESTS): void {
    const request = REQUESTS[signal];
    if (request === "stop") this.#isStopRequested = true;
    const handler = this.#handlers[request];
    if (handler) handler(signal);
    else this.#waiting.set(request, signal);
  }

  /**
   * Sets the handler of a request, in place of an earlier one. Calls it at once
   * if the request has arrived already and no handler was there.
   */
  on(request: SignalRequest, handler: (signal: string) => void): void {
    this.#handlers[request] = handler;
    const signal = this.#waiting.get(request);
    if (signal === undefined) return;
    this.#waiting.delete(request);
    handler(signal);
  }
}

let signals: ProcessSignals | undefined;

/**
 * Begins to take the signals of this process; from then on none of them ends
 * it. Further calls return the same object.
 */
export function takeSignals(): ProcessSignals {
  if (signals) return signals;
  const taken = new ProcessSignals();
  for (const name of Object.keys(REQUESTS)) {
    const signal = name as keyof typeof REQUESTS;
    process.on(signal, () => taken.receive(signal));
  }
  signals = taken;
  return taken;
}

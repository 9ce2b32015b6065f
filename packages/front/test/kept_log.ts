import type { LogFields, Logger, LoggerFactory } from "@toucantrestle/log";

/** Lines that are kept of one test. */
const MAX_LINES = 2_000;

/** Context of a test that has ended; `TestContext` declares no `passed`. */
interface EndedTest {
  passed: boolean;
  diagnostic(message: string): void;
}

/** Log of all parts of one test, which is printed only if the test fails. */
export class KeptLog {
  readonly #lines: string[] = [];

  /** Creates the loggers of a part that writes here. */
  readonly loggers: LoggerFactory = (part) => {
    const write: Logger["info"] = (message, fields) =>
      this.add(`[${part}] ${message}`, fields);
    return { error: write, warn: write, info: write, debug: write };
  };

  /** Adds a line with the time since the start of the process, in ms. */
  add(message: string, fields: LogFields = {}): void {
    if (this.#lines.length >= MAX_LINES) this.#lines.shift();
    const at = performance.now().toFixed(0);
    this.#lines.push(`${at} ${message} ${JSON.stringify(fields)}`);
  }

  /** Prints the lines if a test, given by its context, has failed. */
  printIfFailed(t: object): void {
    const test = t as EndedTest;
    if (test.passed) return;
    for (const line of this.#lines) test.diagnostic(line);
  }
}

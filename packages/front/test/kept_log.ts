import type { LogFields, Logger, LoggerFactory } from "@toucantrestle/log";

/** Lines that are kept of one test, or somewhat more. */
const MAX_LINES = 2_000;

/** Context of a test that has ended; `TestContext` declares no `passed`. */
interface EndedTest {
  passed: boolean;
  diagnostic(message: string): void;
}

interface Line {
  /** Time since the start of the process, in ms. */
  at: number;
  part: string;
  message: string;
  fields: LogFields | undefined;
}

/** Log of all parts of a test, which is printed only if the test fails. */
export class KeptLog {
  #lines: Line[] = [];

  /** Creates the loggers of a part that writes here. */
  readonly loggers: LoggerFactory = (part) => {
    const write: Logger["info"] = (message, fields) =>
      this.#add({ at: performance.now(), part, message, fields });
    return { error: write, warn: write, info: write, debug: write };
  };

  /** Prints the lines if a test, given by its context, has failed. */
  printIfFailed(t: object): void {
    const lines = this.#lines.splice(0);
    const test = t as EndedTest;
    if (test.passed) return;
    for (const { at, part, message, fields = {} } of lines) {
      const details = JSON.stringify(fields);
      test.diagnostic(`${at.toFixed(0)} [${part}] ${message} ${details}`);
    }
  }

  #add(line: Line): void {
    this.#lines.push(line);
    if (this.#lines.length > 2 * MAX_LINES) {
      this.#lines = this.#lines.slice(-MAX_LINES);
    }
  }
}

/** Metrics that the platform's bench prints for one day. */
export interface DayMetrics {
  /** Benefit minus costs, as a fraction of the benefit owed. */
  worth: number;
  /** Benefit in the worst seconds, as a fraction. */
  worstWindows: number;
  promptTokensRead: number;
  classes: ClassMetrics[];
}

/** Metrics of the programs of one class. */
export interface ClassMetrics {
  name: string;
  /** Number of programs requested. */
  asked: number;
  /** Fraction of the requested programs that completed within their target. */
  inAim: number;
  p50Ms: number;
  p99Ms: number;
}

/** Thrown when the output of a bench run lacks an expected value. */
export class UnreadableDayError extends Error {
  override name = "UnreadableDayError";
}

/**
 * Parses the text that the platform's bench prints for one day.
 *
 * @throws {UnreadableDayError} when a value is missing, for example because the
 * run did not complete
 */
export function parseDay(text: string): DayMetrics {
  const lines = text.split("\n");
  const worth = extractNumber(text, /^worth (-?[\d.]+) = /m);
  const worstWindows = extractNumber(text, /worst windows (-?[\d.]+) /);
  const promptTokensRead = extractNumber(text, /(\d+) prompt tokens read/);
  const headerIndex = lines.findIndex((it) => it.startsWith("class "));
  if (headerIndex < 0) {
    throw new UnreadableDayError("bench output has no table of classes");
  }
  const linesAfterHeader = lines.slice(headerIndex + 1);
  const rowCount = linesAfterHeader.findIndex((it) => it.trim() === "");
  const classes = linesAfterHeader.slice(0, rowCount).map(parseClassRow);
  return { worth, worstWindows, promptTokensRead, classes };
}

/**
 * Parses a row with the columns name, asked, in aim, late, refused, failed, not
 * owed, worth, p50 and p99.
 */
function parseClassRow(line: string): ClassMetrics {
  const cells = line.trim().split(/\s+/);
  const [name = "", asked, inAim] = cells;
  return {
    name,
    asked: Number(asked),
    inAim: Number(inAim) / Number(asked),
    p50Ms: Number(cells[8]),
    p99Ms: Number(cells[9]),
  };
}

function extractNumber(text: string, pattern: RegExp): number {
  const captured = pattern.exec(text)?.[1];
  if (captured === undefined) {
    throw new UnreadableDayError(
      `bench output has no match for /${pattern.source}/`,
    );
  }
  return Number(captured);
}

/** What a day of the platform's bench says of one policy. */
export interface DayFigures {
  /** Benefit less prices, as a share of what was owed. */
  worth: number;
  /** Benefit in the worst seconds, as a share. */
  worstWindows: number;
  promptTokensRead: number;
  classes: ClassFigures[];
}

/** Programs of one class. */
export interface ClassFigures {
  name: string;
  asked: number;
  /** Share that ended in time. */
  inAim: number;
  p50Ms: number;
  p99Ms: number;
}

/** Output of a bench run that lacks what is looked for. */
export class UnreadableDayError extends Error {
  override name = "UnreadableDayError";
}

/**
 * Reads the text that the platform's bench prints for one day.
 *
 * @throws {UnreadableDayError} when the day was not played to its end
 */
export function readDay(text: string): DayFigures {
  const lines = text.split("\n");
  const worth = match(text, /^worth (-?[\d.]+) = /m);
  const worstWindows = match(text, /worst windows (-?[\d.]+) /);
  const promptTokensRead = match(text, /(\d+) prompt tokens read/);
  const head = lines.findIndex((it) => it.startsWith("class "));
  if (head < 0) throw new UnreadableDayError("no table of classes");
  const rest = lines.slice(head + 1);
  const count = rest.findIndex((it) => it.trim() === "");
  const classes = rest.slice(0, count).map(readClass);
  return { worth, worstWindows, promptTokensRead, classes };
}

/** Columns: name, asked, in aim, late, refused, failed, not owed, worth, p50, p99. */
function readClass(line: string): ClassFigures {
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

function match(text: string, pattern: RegExp): number {
  const found = pattern.exec(text)?.[1];
  if (found === undefined) throw new UnreadableDayError(`no ${pattern.source}`);
  return Number(found);
}

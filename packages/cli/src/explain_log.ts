/** Structured log line of a process. */
export interface LogLine {
  time: string;
  host: string;
  part: string;
  event: string;
  message: string;
  req?: string;
  program?: string;
  [field: string]: unknown;
}

/**
 * Parses the structured lines of a log. Text before the JSON object of a line is
 * skipped, as are lines without one.
 */
export function readLogLines(text: string): LogLine[] {
  const lines: LogLine[] = [];
  for (const rawLine of text.split("\n")) {
    const line = parseLogLine(rawLine);
    if (line) lines.push(line);
  }
  return lines;
}

/**
 * Returns the lines about a request, or about all calls of its program, in
 * chronological order.
 */
export function selectRequestLines(
  lines: LogLine[],
  opts: { request: string; withProgram: boolean },
): LogLine[] {
  const requestLines = lines.filter((it) => it.req === opts.request);
  const program = requestLines.find((it) => it.program !== undefined)?.program;
  const selected = opts.withProgram && program !== undefined
    ? lines.filter((it) => it.program === program)
    : requestLines;
  return selected.toSorted((a, b) => a.time < b.time ? -1 : 1);
}

function parseLogLine(rawLine: string): LogLine | undefined {
  const start = rawLine.indexOf("{");
  if (start < 0) return undefined;
  try {
    const line = JSON.parse(rawLine.slice(start)) as LogLine;
    return typeof line.time === "string" ? line : undefined;
  } catch {
    return undefined;
  }
}

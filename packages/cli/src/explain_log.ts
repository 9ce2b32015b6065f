/** One structured line of a process's log. */
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

/** Reads the structured lines of a log; what stands before each is skipped. */
export function readLogLines(text: string): LogLine[] {
  const lines: LogLine[] = [];
  for (const row of text.split("\n")) {
    const line = parseRow(row);
    if (line) lines.push(line);
  }
  return lines;
}

/** Lines on a request, or on all calls of its program, in order of time. */
export function explainLines(
  lines: LogLine[],
  opts: { request: string; withProgram: boolean },
): LogLine[] {
  const own = lines.filter((it) => it.req === opts.request);
  const program = own.find((it) => it.program !== undefined)?.program;
  const found = opts.withProgram && program !== undefined
    ? lines.filter((it) => it.program === program)
    : own;
  return found.toSorted((a, b) => a.time < b.time ? -1 : 1);
}

function parseRow(row: string): LogLine | undefined {
  const start = row.indexOf("{");
  if (start < 0) return undefined;
  try {
    const line = JSON.parse(row.slice(start)) as LogLine;
    return typeof line.time === "string" ? line : undefined;
  } catch {
    return undefined;
  }
}

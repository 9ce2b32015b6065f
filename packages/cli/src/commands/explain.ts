import { readFileSync } from "node:fs";
import { type Command, requireArg, UsageError } from "../command.ts";
import {
  type LogLine,
  readLogLines,
  selectRequestLines,
} from "../explain_log.ts";

/** Explains the outcome of a request from the logs of all processes. */
export const explain: Command = {
  help: `explain REQUEST FILE... [--program]

  Prints the log lines about a request in chronological order.
  The lines are merged from the log files of any number of processes. With
  --program, includes the other calls of the program.`,
  flags: { program: { type: "boolean" } },
  handler(ctx) {
    const request = requireArg(ctx, 0, "REQUEST");
    const files = ctx.args.slice(1);
    if (files.length === 0) throw new UsageError("missing argument FILE");
    const readErrors: string[] = [];
    const lines = files.flatMap((file) => readLogFile(file, readErrors));
    const found = selectRequestLines(lines, {
      request,
      withProgram: ctx.flags["program"] === true,
    });
    const text = found.length > 0
      ? found.map(formatLogLine)
      : [`no log lines about request ${request} in ${files.length} files`];
    ctx.print([...readErrors, ...text], found);
    return Promise.resolve();
  },
};

/**
 * Reads one log file. If the file cannot be read, records the error and returns
 * no lines, so that the other files are still processed.
 */
function readLogFile(file: string, readErrors: string[]): LogLine[] {
  try {
    return readLogLines(readFileSync(file, "utf8"));
  } catch (err) {
    const { code } = err as NodeJS.ErrnoException;
    readErrors.push(`cannot read log file ${file} (${code ?? "unknown"})`);
    return [];
  }
}

/** Fields that are excluded from the details at the end of a line. */
const NON_DETAIL_FIELDS = new Set([
  "time",
  "host",
  "level",
  "part",
  "message",
  "event",
]);

function formatLogLine(line: LogLine): string {
  const details = Object.entries(line)
    .filter(([name, value]) =>
      !NON_DETAIL_FIELDS.has(name) && value !== undefined
    )
    .map(([name, value]) => `${name}=${String(value)}`);
  return `${line.time} ${line.host} ${line.event}: ${line.message} ` +
    `(${details.join(", ")})`;
}

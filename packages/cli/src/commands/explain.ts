import { readFileSync } from "node:fs";
import { type Command, requireArg, UsageError } from "../command.ts";
import { explainLines, type LogLine, readLogLines } from "../explain_log.ts";

/** Explains what became of a request, from the logs of all processes. */
export const explain: Command = {
  help: `explain REQUEST FILE... [--program]

  Prints the decisions on a request in order, from log files of any number of
  processes. With --program, also those on the other calls of its program.`,
  flags: { program: { type: "boolean" } },
  handler(ctx) {
    const request = requireArg(ctx, 0, "REQUEST");
    const files = ctx.args.slice(1);
    if (files.length === 0) throw new UsageError("FILE is missing");
    const notes: string[] = [];
    const lines = files.flatMap((file) => readFile(file, notes));
    const found = explainLines(lines, {
      request,
      withProgram: ctx.flags["program"] === true,
    });
    const text = found.length > 0
      ? found.map(sentence)
      : [`no line of these files names request ${request}`];
    ctx.print([...notes, ...text], found);
    return Promise.resolve();
  },
};

/** Reads one file; one that cannot be read is named, and the rest goes on. */
function readFile(file: string, notes: string[]): LogLine[] {
  try {
    return readLogLines(readFileSync(file, "utf8"));
  } catch (err) {
    const { code } = err as NodeJS.ErrnoException;
    notes.push(`${file} cannot be read (${code ?? "unknown"})`);
    return [];
  }
}

/** Fields that the sentence says already. */
const SAID = new Set(["time", "host", "level", "part", "message", "event"]);

function sentence(line: LogLine): string {
  const details = Object.entries(line)
    .filter(([name, value]) => !SAID.has(name) && value !== undefined)
    .map(([name, value]) => `${name}=${String(value)}`);
  return `${line.time} ${line.host} ${line.event}: ${line.message} ` +
    `(${details.join(", ")})`;
}

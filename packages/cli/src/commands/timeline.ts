import {
  drawProgram,
  formatEvent,
  type TimelineFilter,
} from "@toucantrestle/timeline";
import { writeFileSync } from "node:fs";
import {
  type Command,
  type CommandContext,
  textFlag,
  UsageError,
} from "../command.ts";

const UNITS_MS = { s: 1_000, m: 60_000, h: 3_600_000 } as const;

/** Shows the merged time line of all daemons. */
export const timeline: Command = {
  help: `timeline [--program ID] [--request ID] [--part NAME] [--since 10m]
           [--svg FILE]

  Shows the events of all daemons in one order. With --svg, draws the calls
  of a program into a file.`,
  flags: {
    program: { type: "string" },
    request: { type: "string" },
    part: { type: "string" },
    since: { type: "string" },
    svg: { type: "string" },
  },
  async handler(ctx) {
    const events = await ctx.client.timeline(filterOf(ctx));
    const svg = textFlag(ctx, "svg");
    if (svg === undefined) {
      ctx.print(events.map(formatEvent), events);
      return;
    }
    writeFileSync(svg, drawProgram(events));
    ctx.print([`wrote ${svg}`], { file: svg });
  },
};

function filterOf(ctx: CommandContext): TimelineFilter {
  const filter: TimelineFilter = {};
  const program = textFlag(ctx, "program");
  const request = textFlag(ctx, "request");
  const part = textFlag(ctx, "part");
  const since = textFlag(ctx, "since");
  if (program !== undefined) filter.program = program;
  if (request !== undefined) filter.request = request;
  if (part !== undefined) filter.part = part;
  if (since !== undefined) filter.sinceMs = Date.now() - parseDuration(since);
  return filter;
}

function parseDuration(text: string): number {
  const match = /^(\d+)([smh])$/.exec(text);
  if (!match) throw new UsageError(`"${text}" is not a time such as 10m`);
  return Number(match[1]) * UNITS_MS[match[2] as keyof typeof UNITS_MS];
}

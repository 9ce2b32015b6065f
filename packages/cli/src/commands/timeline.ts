import {
  formatEvent,
  renderProgramSvg,
  type TimelineFilter,
} from "@toucantrestle/timeline";
import { writeFileSync } from "node:fs";
import {
  type Command,
  type CommandContext,
  getStringFlag,
  UsageError,
} from "../command.ts";

const UNIT_DURATIONS_MS = { s: 1_000, m: 60_000, h: 3_600_000 } as const;

/** Prints the merged timeline of all daemons. */
export const timeline: Command = {
  help: `timeline [--program ID] [--request ID] [--part NAME] [--since 10m]
           [--svg FILE]

  Prints the events of all daemons in one global order. With --svg, writes a
  diagram of the calls of a program to a file.`,
  flags: {
    program: { type: "string" },
    request: { type: "string" },
    part: { type: "string" },
    since: { type: "string" },
    svg: { type: "string" },
  },
  async handler(ctx) {
    const events = await ctx.client.timeline(parseTimelineFilter(ctx));
    const svg = getStringFlag(ctx, "svg");
    if (svg === undefined) {
      ctx.print(events.map(formatEvent), events);
      return;
    }
    writeFileSync(svg, renderProgramSvg(events));
    ctx.print([`wrote ${svg}`], { file: svg });
  },
};

function parseTimelineFilter(ctx: CommandContext): TimelineFilter {
  const filter: TimelineFilter = {};
  const program = getStringFlag(ctx, "program");
  const request = getStringFlag(ctx, "request");
  const part = getStringFlag(ctx, "part");
  const since = getStringFlag(ctx, "since");
  if (program !== undefined) filter.program = program;
  if (request !== undefined) filter.request = request;
  if (part !== undefined) filter.part = part;
  if (since !== undefined) filter.sinceMs = Date.now() - parseDuration(since);
  return filter;
}

function parseDuration(text: string): number {
  const match = /^(\d+)([smh])$/.exec(text);
  if (!match) throw new UsageError(`expected a duration like 10m: "${text}"`);
  return Number(match[1]) *
    UNIT_DURATIONS_MS[match[2] as keyof typeof UNIT_DURATIONS_MS];
}

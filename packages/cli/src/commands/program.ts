import { formatEvent } from "@toucantrestle/timeline";
import { type Command, requireArg, UsageError } from "../command.ts";
import { formatProgram } from "./programs.ts";

/** Prints one program and its timeline. */
export const program: Command = {
  help: `program ID

  Prints one program and its timeline.`,
  flags: {},
  async handler(ctx) {
    const id = requireArg(ctx, 0, "ID");
    const list = await ctx.client.programs();
    const found = list.find((it) => it.program === id);
    if (!found) throw new UsageError(`unknown program ${id}`);
    const events = await ctx.client.timeline({ program: id });
    ctx.print(
      [formatProgram(found), ...events.map(formatEvent)],
      { ...found, events },
    );
  },
};

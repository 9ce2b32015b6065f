import { formatEvent } from "@toucantrestle/timeline";
import { type Command, requireArg, UsageError } from "../command.ts";
import { formatProgram } from "./programs.ts";

/** Shows one program. */
export const program: Command = {
  help: `program ID

  Shows one program and its time line.`,
  flags: {},
  async handler(ctx) {
    const id = requireArg(ctx, 0, "ID");
    const list = await ctx.client.programs();
    const found = list.find((it) => it.program === id);
    if (!found) throw new UsageError(`program ${id} is not known`);
    const events = await ctx.client.timeline({ program: id });
    ctx.print(
      [formatProgram(found), ...events.map(formatEvent)],
      { ...found, events },
    );
  },
};

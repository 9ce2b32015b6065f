import { formatDifference } from "@toucantrestle/table";
import { randomUUID } from "node:crypto";
import { type Command, requireArg, textFlag } from "../command.ts";
import { warnFirst } from "../warn_first.ts";
import { compare } from "./plan.ts";

/** Makes the table hold what a declaration says. */
export const apply: Command = {
  help: `apply FILE [--reason TEXT] [--force]

  Makes the table hold just what the declaration says. Applying the same file
  twice changes nothing. A broken declaration is refused whole.`,
  flags: { reason: { type: "string" }, force: { type: "boolean" } },
  async handler(ctx) {
    const difference = await compare(
      ctx.client,
      requireArg(ctx, 0, "FILE"),
    );
    const { changes, removals } = difference;
    if (changes.length + removals.length === 0) {
      ctx.print(["nothing to change"], { changed: false });
      return;
    }
    warnFirst(ctx, await ctx.client.table(), difference);
    const answer = await ctx.client.edit({
      writeId: randomUUID(),
      reason: textFlag(ctx, "reason") ?? "apply",
      changes,
      removals,
    });
    ctx.print([
      ...formatDifference(difference),
      ...answer.warnings.map((it) => `warning: ${it}`),
      `revision ${answer.revision} is accepted`,
    ], { changed: true, ...answer });
  },
};

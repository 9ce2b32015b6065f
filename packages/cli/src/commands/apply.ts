import { formatDifference } from "@toucantrestle/table";
import { randomUUID } from "node:crypto";
import { type Command, getStringFlag, requireArg } from "../command.ts";
import { rejectNewWarnings } from "../reject_new_warnings.ts";
import { diffDeclaration } from "./plan.ts";

/** Applies a declaration to the table. */
export const apply: Command = {
  help: `apply FILE [--reason TEXT] [--force]

  Makes the table match the declaration.
  Rows that the declaration omits are removed, and cells that it omits are reset
  to their default. Applying the same file twice changes nothing. An invalid
  declaration is rejected as a whole. A change that would starve the system
  requires --force.`,
  flags: { reason: { type: "string" }, force: { type: "boolean" } },
  async handler(ctx) {
    const difference = await diffDeclaration(
      ctx.client,
      requireArg(ctx, 0, "FILE"),
    );
    const { changes, removals } = difference;
    if (changes.length + removals.length === 0) {
      ctx.print(["no changes"], { changed: false });
      return;
    }
    rejectNewWarnings(ctx, await ctx.client.table(), difference);
    const result = await ctx.client.edit({
      writeId: randomUUID(),
      reason: getStringFlag(ctx, "reason") ?? "apply",
      changes,
      removals,
    });
    ctx.print([
      ...formatDifference(difference),
      ...result.warnings.map((it) => `warning: ${it}`),
      `revision ${result.revision} was accepted`,
    ], { changed: true, ...result });
  },
};

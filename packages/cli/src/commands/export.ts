import { formatDeclaration } from "@toucantrestle/table";
import type { Command } from "../command.ts";

/** Prints the current table as a declaration. */
export const exportTable: Command = {
  help: `export

  Prints the current table as a YAML declaration.`,
  flags: {},
  async handler(ctx) {
    const table = await ctx.client.table();
    ctx.print([formatDeclaration(table).trimEnd()], table);
  },
};

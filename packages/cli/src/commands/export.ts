import { formatDeclaration } from "@toucantrestle/table";
import type { Command } from "../command.ts";

/** Writes the table in force as a declaration. */
export const exportTable: Command = {
  help: `export

  Writes the table in force as a declaration.`,
  flags: {},
  async handler(ctx) {
    const table = await ctx.client.table();
    ctx.print([formatDeclaration(table).trimEnd()], table);
  },
};

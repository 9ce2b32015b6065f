import { type EditRecord, formatCell } from "@toucantrestle/table";
import type { Command } from "../command.ts";

/** Lists accepted edits. */
export const history: Command = {
  help: `history

  Lists accepted edits, newest first.`,
  flags: {},
  async handler(ctx) {
    const edits = await ctx.client.history();
    ctx.print(edits.flatMap(formatEdit), edits);
  },
};

function formatEdit(edit: EditRecord): string[] {
  const time = new Date(edit.at).toISOString();
  const changes = edit.changes.map((it) =>
    `  ${it.row} ${it.column}: ${formatCell(it.seen ?? undefined)} -> ${
      formatCell(it.value)
    }`
  );
  const removals = edit.removals.map((row) => `  removed ${row}`);
  const reason = edit.reason === "" ? "" : `: ${edit.reason}`;
  return [
    `${edit.revision} ${time} ${edit.author}${reason}`,
    ...changes,
    ...removals,
  ];
}

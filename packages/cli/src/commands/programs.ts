import type { ProgramSummary } from "@toucantrestle/operator";
import type { Command } from "../command.ts";

/** Lists programs. */
export const programs: Command = {
  help: `programs [--caller NAME] [--all]

  Lists running programs. With --all, includes ended programs.`,
  flags: { caller: { type: "string" }, all: { type: "boolean" } },
  async handler(ctx) {
    const list = await ctx.client.programs();
    const shown = list.filter((it) =>
      (ctx.flags["all"] === true || it.state === "running") &&
      (ctx.flags["caller"] === undefined || it.caller === ctx.flags["caller"])
    );
    ctx.print(shown.map(formatProgram), shown);
  },
};

/** Formats a program as one line. */
export function formatProgram(it: ProgramSummary): string {
  const idle = Math.round(it.idleMs / 1_000);
  return `${it.program} ${it.caller} ${it.state} step ${it.steps + 1} ` +
    `${it.spentTokens}/${it.budgetTokens} tokens idle ${idle}s on ${it.host}`;
}

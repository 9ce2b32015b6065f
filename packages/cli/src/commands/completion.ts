import type { Command } from "../command.ts";

/** Creates the command that prints a bash completion script. */
export function createCompletionCommand(names: () => string[]): Command {
  return {
    help: `completion

  Prints a bash completion script. To load it:
  source <(toucantrestle completion)`,
    flags: {},
    handler(ctx) {
      const words = names().join(" ");
      ctx.print([
        `complete -W "${words}" toucantrestle`,
      ], { commands: names() });
      return Promise.resolve();
    },
  };
}

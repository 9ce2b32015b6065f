import type { Command } from "../command.ts";

/** Writes a completion script for bash. */
export function createCompletion(names: () => string[]): Command {
  return {
    help: `completion

  Writes a completion script for bash:
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

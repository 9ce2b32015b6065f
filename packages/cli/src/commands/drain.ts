import type { Command } from "../command.ts";

/** Shuts a daemon down gracefully. */
export const drain: Command = {
  help: `drain

  Shuts down the daemon at --url gracefully.
  The daemon hands over its shards, completes calls in flight and exits.`,
  flags: {},
  async handler(ctx) {
    await ctx.client.drain();
    ctx.print(["the daemon is draining"], { draining: true });
  },
};

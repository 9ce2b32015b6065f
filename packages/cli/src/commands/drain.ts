import type { Command } from "../command.ts";

/** Stops a daemon gracefully. */
export const drain: Command = {
  help: `drain

  Stops the daemon at --url gracefully: it hands its shards over, finishes
  what is in progress and ends.`,
  flags: {},
  async handler(ctx) {
    await ctx.client.drain();
    ctx.print(["the daemon is draining"], { draining: true });
  },
};

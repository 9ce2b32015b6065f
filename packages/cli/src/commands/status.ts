import type { FleetStatus, HostStatus } from "@toucantrestle/operator";
import type { Command } from "../command.ts";

const MAX_LINE_WIDTH = 40;

/** Prints the fleet status. */
export const status: Command = {
  help: `status

  Prints the table revision in force on each host.
  Also lists upstreams and shards with problems. Lines have at most 40 columns.`,
  flags: {},
  async handler(ctx) {
    const fleet = await ctx.client.status();
    ctx.print(formatStatus(fleet), fleet);
  },
};

/** Formats the fleet status as lines of at most 40 columns for small screens. */
export function formatStatus(fleet: FleetStatus): string[] {
  const inForce = fleet.hosts.filter((it) =>
    it.tableRevision === fleet.tableRevision
  );
  return [
    `revision ${fleet.tableRevision} on ${inForce.length} of ${
      fleet.hosts.length + fleet.silentHosts.length
    } hosts`,
    ...fleet.hosts.map(formatHost),
    ...fleet.silentHosts.map((host) => `! ${host} does not respond`),
    ...(fleet.shardsWithoutOwner > 0
      ? [`! ${fleet.shardsWithoutOwner} shards without owner`]
      : []),
    ...describeProblems(fleet).map((it) => `! ${it}`),
  ].map((line) => line.slice(0, MAX_LINE_WIDTH));
}

function formatHost(host: HostStatus): string {
  const name = host.host.slice(0, 12).padEnd(12);
  const shards = String(host.shardsOwned).padStart(2);
  const calls = `${host.callsRunning}+${host.callsWaiting}`.padStart(7);
  const store = host.storeReachable ? "" : " no store";
  const state = host.state === "live" ? "" : " leaving";
  return `${name} r${host.tableRevision} ${shards}sh ${calls}${store}${state}`;
}

/**
 * Describes hosts with slow shards and upstreams that do not accept calls
 * according to at least one host.
 */
function describeProblems(fleet: FleetStatus): string[] {
  const lines = new Set<string>();
  for (const host of fleet.hosts) {
    if (host.shardsInTrouble > 0) {
      lines.add(`${host.host}: ${host.shardsInTrouble} slow shards`);
    }
    for (const upstream of host.upstreams) {
      if (!upstream.accepting) lines.add(`${upstream.name} accepts no calls`);
    }
  }
  return [...lines];
}

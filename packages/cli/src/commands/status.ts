import type { FleetStatus, HostStatus } from "@toucantrestle/operator";
import type { Command } from "../command.ts";

const WIDTH = 40;

/** Shows the state of the fleet. */
export const status: Command = {
  help: `status

  Shows which hosts have which revision in force, and which upstreams and
  shards are in trouble, 40 columns wide.`,
  flags: {},
  async handler(ctx) {
    const fleet = await ctx.client.status();
    ctx.print(formatStatus(fleet), fleet);
  },
};

/** Writes a status for a small screen. */
export function formatStatus(fleet: FleetStatus): string[] {
  const inForce = fleet.hosts.filter((it) =>
    it.tableRevision === fleet.tableRevision
  );
  return [
    `revision ${fleet.tableRevision} on ${inForce.length} of ${
      fleet.hosts.length + fleet.silentHosts.length
    } hosts`,
    ...fleet.hosts.map(formatHost),
    ...fleet.silentHosts.map((host) => `! ${host} does not answer`),
    ...(fleet.shardsWithoutOwner > 0
      ? [`! ${fleet.shardsWithoutOwner} shards without owner`]
      : []),
    ...troubles(fleet).map((it) => `! ${it}`),
  ].map((line) => line.slice(0, WIDTH));
}

function formatHost(host: HostStatus): string {
  const name = host.host.slice(0, 12).padEnd(12);
  const shards = String(host.shardsOwned).padStart(2);
  const calls = `${host.callsRunning}+${host.callsWaiting}`.padStart(7);
  const store = host.storeReachable ? "" : " no store";
  const state = host.state === "live" ? "" : " leaving";
  return `${name} r${host.tableRevision} ${shards}sh ${calls}${store}${state}`;
}

/** Upstreams that accept no work on at least one host. */
function troubles(fleet: FleetStatus): string[] {
  const lines = new Set<string>();
  for (const host of fleet.hosts) {
    if (host.shardsInTrouble > 0) {
      lines.add(`${host.host}: ${host.shardsInTrouble} slow shards`);
    }
    for (const upstream of host.upstreams) {
      if (!upstream.accepting) lines.add(`${upstream.name} takes no work`);
    }
  }
  return [...lines];
}

import { findFreePorts, startProcess } from "@toucantrestle/stand_ins";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { CallLoad } from "../call_cost/call_load.ts";
import { startUpstream } from "../call_cost/upstream.ts";
import type { BenchCommand } from "../command.ts";
import { readProcessUsage } from "../process_usage.ts";

/** Ways to forward a call that are compared. */
type Forwarder = "bare" | "front";

/** CPU time per call of one process, in ms. */
interface CallCost {
  coldMs: number;
  warmMs: number;
  failed: number;
}

const DEFAULT_COLD_CALLS = 500;
const DEFAULT_WARM_CALLS = 2_000;
const START_TIMEOUT_MS = 10_000;
const POLL_INTERVAL_MS = 20;
/** Listen addresses of a front; a bare forwarder uses only the first. */
const ADDRESS_COUNT = 4;

const SCRIPTS: Record<Forwarder, string> = {
  bare: scriptPath("bare_main.js"),
  front: scriptPath("front_main.js"),
};

/** Measures CPU time per call in a front, as a ratio to bare forwarding. */
export const callCost: BenchCommand = {
  help: "CPU time of a call in a front, as a ratio to bare forwarding",
  flags: {
    coldCalls: { type: "number", default: DEFAULT_COLD_CALLS },
    warmCalls: { type: "number", default: DEFAULT_WARM_CALLS },
  },
  async handler(flags) {
    const coldCalls = Number(flags["coldCalls"]);
    const warmCalls = Number(flags["warmCalls"]);
    const upstream = await startUpstream();
    const opts = { upstream: upstream.address, coldCalls, warmCalls };
    try {
      const bare = await measure("bare", opts);
      const front = await measure("front", opts);
      return {
        cold_calls: coldCalls,
        warm_calls: warmCalls,
        failed: bare.failed + front.failed,
        bare_ms: { cold: round(bare.coldMs), warm: round(bare.warmMs) },
        front_ms: { cold: round(front.coldMs), warm: round(front.warmMs) },
        ratio: {
          cold: round(front.coldMs / bare.coldMs),
          warm: round(front.warmMs / bare.warmMs),
        },
      };
    } finally {
      upstream.server.closeAllConnections();
      upstream.server.close();
    }
  },
};

async function measure(
  forwarder: Forwarder,
  opts: { upstream: string; coldCalls: number; warmCalls: number },
): Promise<CallCost> {
  const ports = await findFreePorts(ADDRESS_COUNT);
  const addresses = ports.map((port) => `127.0.0.1:${port}`);
  const own = forwarder === "bare" ? addresses.slice(0, 1) : addresses;
  const child = startProcess({
    name: forwarder,
    script: SCRIPTS[forwarder],
    args: [...own, opts.upstream],
    logFile: undefined,
  });
  const load = new CallLoad(addresses[0] ?? "");
  try {
    await waitUntilServing(load);
    const costOf = async (calls: number) => {
      const before = readProcessUsage(child.pid);
      await load.run(calls);
      return (readProcessUsage(child.pid).cpuMs - before.cpuMs) / calls;
    };
    const coldMs = await costOf(opts.coldCalls);
    await load.run(opts.warmCalls);
    const warmMs = await costOf(opts.warmCalls);
    return { coldMs, warmMs, failed: load.failed };
  } finally {
    load.close();
    child.signal("SIGKILL");
  }
}

/** Polls with plain calls, of which the first few are not measured. */
async function waitUntilServing(load: CallLoad): Promise<void> {
  const deadline = performance.now() + START_TIMEOUT_MS;
  while (await load.send(false) !== 200) {
    if (performance.now() > deadline) throw new Error("forwarder not serving");
    await delay(POLL_INTERVAL_MS);
  }
}

function scriptPath(name: string): string {
  return fileURLToPath(new URL(`../call_cost/${name}`, import.meta.url));
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

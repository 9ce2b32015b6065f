import type { FleetSpec } from "@toucantrestle/stand_ins";
import type { BenchCommand } from "../command.ts";
import { startBenchFleet } from "../fleet.ts";
import { type LoadResult, OpenLoad, percentileMs } from "../path/load.ts";
import { cpuPercent, type ProcessUsage, readUsage } from "../process_usage.ts";

const CALLS_PER_S = 200;
const TOKENS_PER_CALL = 350;
const DIRECT_SECONDS = 8;
const THROUGH_SECONDS = 12;
const WARM_UP_SECONDS = 3;
const ENGINES = 4;
const BYTES_PER_MB = 1_000_000;

const SPEC: FleetSpec = {
  daemons: [
    { host: "entry-1", dataCentre: "dc-1" },
    { host: "entry-2", dataCentre: "dc-2" },
    { host: "entry-3", dataCentre: "dc-3" },
  ],
  upstreams: Array.from({ length: ENGINES }, (_, i) => ({
    name: `engine-${i + 1}`,
    kind: "engine" as const,
    dataCentre: "dc-1",
    serves: ["small"],
    capacity: 256,
    args: [
      ...["--decode-base-ms", "2"],
      ...["--decode-per-sequence-ms", "0"],
      ...["--prefill-tokens-per-s", "1000000"],
      ...["--cache-tokens", "10000000"],
    ],
  })),
};

/** What one daemon adds to a call. */
export const path: BenchCommand = {
  help: "what a daemon adds to a call: direct against through one daemon",
  flags: {
    callsPerS: { type: "number", default: CALLS_PER_S },
    tailCopies: { type: "number", default: 3 },
  },
  async handler(flags) {
    const callsPerS = Number(flags["callsPerS"]);
    const tailCopies = String(flags["tailCopies"]);
    const { fleet, operator, callerKey } = await startBenchFleet({
      ...SPEC,
      daemonArgs: ["--tail-copies", tailCopies],
      logFolder: "out/bench",
    });
    try {
      const engines = [...fleet.upstreams.values()].map((it) => it.address);
      const daemon = fleet.daemons.get("entry-1");
      const load = { callsPerS, tokensPerCall: TOKENS_PER_CALL };
      const through = {
        ...load,
        addresses: [daemon?.address ?? ""],
        callerKey,
      };
      const direct = await new OpenLoad({
        ...load,
        addresses: engines,
        seconds: DIRECT_SECONDS,
        callerKey: undefined,
      }).run();
      await new OpenLoad({ ...through, seconds: WARM_UP_SECONDS }).run();
      const pid = daemon?.process.pid ?? 0;
      const before = readUsage(pid);
      const daemonResult = await new OpenLoad({
        ...through,
        seconds: THROUGH_SECONDS,
      }).run();
      const after = readUsage(pid);
      return report({
        direct,
        through: daemonResult,
        before,
        after,
        tailCopies,
      });
    } finally {
      await operator.close();
      await fleet.stop();
    }
  },
};

function report(
  run: {
    direct: LoadResult;
    through: LoadResult;
    before: ProcessUsage;
    after: ProcessUsage;
    tailCopies: string;
  },
) {
  const { direct, through } = run;
  const added = (percentile: number) =>
    round(
      percentileMs(through.latency, percentile) -
        percentileMs(direct.latency, percentile),
    );
  const firstAdded = (percentile: number) =>
    round(
      percentileMs(through.firstToken, percentile) -
        percentileMs(direct.firstToken, percentile),
    );
  return {
    tail_copies: Number(run.tailCopies),
    added_ms: { p50: added(50), p99: added(99) },
    first_token_added_ms: { p50: firstAdded(50), p99: firstAdded(99) },
    direct_ms: {
      p50: round(percentileMs(direct.latency, 50)),
      p99: round(percentileMs(direct.latency, 99)),
    },
    through_ms: {
      p50: round(percentileMs(through.latency, 50)),
      p99: round(percentileMs(through.latency, 99)),
    },
    calls: through.calls,
    failed: through.failed + direct.failed,
    calls_per_s: round(through.calls / through.seconds),
    tokens_per_s: Math.round(through.tokens / through.seconds),
    rss_mb: round(run.after.rssBytes / BYTES_PER_MB),
    cpu_percent: round(cpuPercent(run.before, run.after)),
  };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

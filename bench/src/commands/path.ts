import type { FleetSpec } from "@toucantrestle/stand_ins";
import type { BenchCommand } from "../command.ts";
import { startBenchFleet } from "../fleet.ts";
import { type LoadResult, OpenLoopLoad, percentileMs } from "../path/load.ts";
import {
  cpuPercent,
  type ProcessUsage,
  readProcessUsage,
} from "../process_usage.ts";

const CALLS_PER_S = 200;
const TOKENS_PER_CALL = 350;
const DIRECT_RUN_SECONDS = 8;
const DAEMON_RUN_SECONDS = 12;
const WARM_UP_SECONDS = 3;
const ENGINE_COUNT = 4;
const BYTES_PER_MB = 1_000_000;

const FLEET_SPEC: FleetSpec = {
  daemons: [
    { host: "entry-1", dataCentre: "dc-1" },
    { host: "entry-2", dataCentre: "dc-2" },
    { host: "entry-3", dataCentre: "dc-3" },
  ],
  upstreams: Array.from({ length: ENGINE_COUNT }, (_, i) => ({
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

/** Measures the latency that one daemon adds to a call. */
export const path: BenchCommand = {
  help: "latency that a daemon adds to a call, compared with direct calls",
  flags: {
    callsPerS: { type: "number", default: CALLS_PER_S },
    tailCopies: { type: "number", default: 3 },
  },
  async handler(flags) {
    const callsPerS = Number(flags["callsPerS"]);
    const tailCopies = String(flags["tailCopies"]);
    const { fleet, operator, callerKey } = await startBenchFleet({
      ...FLEET_SPEC,
      daemonArgs: ["--tail-copies", tailCopies],
      logFolder: "out/bench",
    });
    try {
      const engineAddresses = [...fleet.upstreams.values()].map((it) =>
        it.address
      );
      const daemon = fleet.daemons.get("entry-1");
      const baseLoad = { callsPerS, tokensPerCall: TOKENS_PER_CALL };
      const daemonLoad = {
        ...baseLoad,
        addresses: [daemon?.address ?? ""],
        callerKey,
      };
      const direct = await new OpenLoopLoad({
        ...baseLoad,
        addresses: engineAddresses,
        seconds: DIRECT_RUN_SECONDS,
        callerKey: undefined,
      }).run();
      await new OpenLoopLoad({ ...daemonLoad, seconds: WARM_UP_SECONDS }).run();
      const pid = daemon?.process.pid ?? 0;
      const before = readProcessUsage(pid);
      const daemonResult = await new OpenLoopLoad({
        ...daemonLoad,
        seconds: DAEMON_RUN_SECONDS,
      }).run();
      const after = readProcessUsage(pid);
      return createReport({
        direct,
        viaDaemon: daemonResult,
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

function createReport(
  run: {
    direct: LoadResult;
    viaDaemon: LoadResult;
    before: ProcessUsage;
    after: ProcessUsage;
    tailCopies: string;
  },
) {
  const { direct, viaDaemon } = run;
  const addedMs = (percentile: number) =>
    round(
      percentileMs(viaDaemon.latency, percentile) -
        percentileMs(direct.latency, percentile),
    );
  const firstTokenAddedMs = (percentile: number) =>
    round(
      percentileMs(viaDaemon.firstToken, percentile) -
        percentileMs(direct.firstToken, percentile),
    );
  return {
    tail_copies: Number(run.tailCopies),
    added_ms: { p50: addedMs(50), p99: addedMs(99) },
    first_token_added_ms: {
      p50: firstTokenAddedMs(50),
      p99: firstTokenAddedMs(99),
    },
    direct_ms: {
      p50: round(percentileMs(direct.latency, 50)),
      p99: round(percentileMs(direct.latency, 99)),
    },
    through_ms: {
      p50: round(percentileMs(viaDaemon.latency, 50)),
      p99: round(percentileMs(viaDaemon.latency, 99)),
    },
    calls: viaDaemon.calls,
    failed: viaDaemon.failed + direct.failed,
    calls_per_s: round(viaDaemon.calls / viaDaemon.seconds),
    tokens_per_s: Math.round(viaDaemon.tokens / viaDaemon.seconds),
    rss_mb: round(run.after.rssBytes / BYTES_PER_MB),
    cpu_percent: round(cpuPercent(run.before, run.after)),
  };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

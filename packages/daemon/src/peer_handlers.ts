import type { TailStore } from "@toucantrestle/membership";
import type {
  HostStatus,
  OutgoingSession,
  PeerHandlers,
  ProgramSummary,
  RpcHandlers,
  SiblingNet,
} from "@toucantrestle/sibling";
import type { Timeline } from "@toucantrestle/timeline";
import type { CallerLimits } from "./caller_limits.ts";
import type { Entry } from "./entry.ts";
import type { Families } from "./families.ts";
import type { Isolation } from "./isolation.ts";
import type { LateOutcomes } from "./late_outcomes.ts";
import type { LoadReader } from "./load_reader.ts";
import type { Replicator } from "./replicator.ts";
import type { StoreView } from "./store_view.ts";
import type { TailHolder } from "./tail_holder.ts";

/** Parts that siblings' messages reach. */
export interface PeerParts {
  view: StoreView;
  timeline: Timeline;
  tails: TailStore;
  holder: TailHolder;
  replicator: Replicator;
  families: Families;
  lates: LateOutcomes;
  entry: Entry;
  loads: LoadReader;
  isolation: Isolation;
  limits: CallerLimits;
  net: () => SiblingNet;
  ownStatus: () => HostStatus;
  ownPrograms: () => ProgramSummary[];
}

const RPC_TIMEOUT_MS = 2_000;

/** Creates what a daemon does with messages of its siblings. */
export function createPeerHandlers(parts: PeerParts): PeerHandlers {
  const fetching = new Set<string>();
  return {
    rpcs: createRpcHandlers(parts),
    onHeartbeat(from, { stamp, tableRevision }) {
      parts.timeline.clock.observe(stamp);
      const isNewer = tableRevision > parts.view.table.revision;
      if (!isNewer || fetching.has(from.runId)) return;
      fetching.add(from.runId);
      fetchTable(parts, from.runId)
        .catch(() => {})
        .finally(() => fetching.delete(from.runId));
    },
    onAppend: (from, message) => parts.holder.append(from, message),
    onAppendAcks: (from, acks) => parts.replicator.takeAcks(from, acks),
    onTrim: (from, message) => parts.holder.trim(from, message),
    onSuspect: (fingerprint) => parts.isolation.takeSuspect(fingerprint),
    onConvicted: (conviction) => parts.isolation.takeConviction(conviction),
    onLoad: (digests) => parts.loads.take(digests),
    onCall: (caller, request, sink) =>
      parts.entry.handleHere(caller, request, sink),
    onLinked(run) {
      parts.replicator.relinked(run);
      const session = parts.net().session(run);
      if (session) learnCluster(parts.view, session);
    },
  };
}

/** Learns hosts and shards from a sibling while the service is out. */
export async function learnCluster(
  view: StoreView,
  session: OutgoingSession,
): Promise<void> {
  if (view.isWatching) return;
  const args = { for: session.run };
  const cluster = await session.rpc("cluster", args, RPC_TIMEOUT_MS)
    .catch(() => undefined);
  if (cluster) view.takeCluster(cluster);
}

function createRpcHandlers(parts: PeerParts): RpcHandlers {
  const { view, tails, families, lates } = parts;
  return {
    seal: ({ shard, epoch }) => ({ tails: tails.seal(shard, epoch) }),
    heard: ({ runId }) => ({ silentMs: parts.net().silentMs(runId) }),
    reserve_child: async (args) => {
      await families.reserveHere(args);
      return { granted: true };
    },
    settle_child: async (args) => {
      await families.settleHere(args);
      return { settled: true };
    },
    late_outcome: async (args) => {
      await lates.recordHere(args);
      return { recorded: true };
    },
    shares: ({ host, demands }) => ({
      grants: parts.limits.grant(host, demands),
    }),
    isolate: async (args) => {
      await parts.isolation.enterHere(args);
      return { granted: true };
    },
    isolated: ({ fingerprint, isConvicted }) => {
      parts.isolation.leaveHere(fingerprint, isConvicted);
      return { noted: true };
    },
    table: ({ above }) => ({
      table: view.table.revision > above ? view.table : undefined,
    }),
    cluster: () => ({
      hosts: [...view.hosts.values()],
      shards: [...view.shards.values()].map((it) => it.record),
      keys: [...view.keys].map(([hash, record]) => ({ hash, ...record })),
    }),
    timeline: ({ filter }) => ({ events: parts.timeline.select(filter) }),
    status: () => ({ status: parts.ownStatus() }),
    programs: () => ({ programs: parts.ownPrograms() }),
  };
}

/** Fetches a table that a sibling has in force before this daemon. */
async function fetchTable(parts: PeerParts, runId: string): Promise<void> {
  const session = parts.net().sessions().find((it) => it.run.runId === runId);
  const above = parts.view.table.revision;
  const answer = await session?.rpc("table", { above }, RPC_TIMEOUT_MS);
  if (answer?.table) parts.view.takeTable(answer.table, 0);
}

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
import type { RequestRouter } from "./request_router.ts";
import type { ChildBudgets } from "./child_budgets.ts";
import type { Isolation } from "./isolation.ts";
import type { LateOutcomeReporter } from "./late_outcome_reporter.ts";
import type { LoadReader } from "./load_reader.ts";
import type { Replicator } from "./replicator.ts";
import type { StoreView } from "./store_view.ts";
import type { TailHolder } from "./tail_holder.ts";

/** Components that handle messages of siblings. */
export interface PeerComponents {
  view: StoreView;
  timeline: Timeline;
  tails: TailStore;
  tailHolder: TailHolder;
  replicator: Replicator;
  childBudgets: ChildBudgets;
  lateOutcomes: LateOutcomeReporter;
  requestRouter: RequestRouter;
  loadReader: LoadReader;
  isolation: Isolation;
  callerLimits: CallerLimits;
  net: () => SiblingNet;
  ownStatus: () => HostStatus;
  ownPrograms: () => ProgramSummary[];
}

const RPC_TIMEOUT_MS = 2_000;

/** Creates the handlers of messages and RPCs from siblings. */
export function createPeerHandlers(components: PeerComponents): PeerHandlers {
  const fetchingFrom = new Set<string>();
  return {
    rpcs: createRpcHandlers(components),
    onHeartbeat(from, { stamp, tableRevision }) {
      components.timeline.clock.observe(stamp);
      const isNewer = tableRevision > components.view.table.revision;
      if (!isNewer || fetchingFrom.has(from.runId)) return;
      fetchingFrom.add(from.runId);
      fetchTable(components, from.runId)
        .catch(() => {})
        .finally(() => fetchingFrom.delete(from.runId));
    },
    onAppend: (from, message) => components.tailHolder.append(from, message),
    onAppendAcks: (from, acks) => components.replicator.handleAcks(from, acks),
    onTrim: (from, message) => components.tailHolder.trim(from, message),
    onSuspect: (fingerprint) => components.isolation.recordSuspect(fingerprint),
    onConvicted: (conviction) =>
      components.isolation.recordConviction(conviction),
    onLoad: (digests) => components.loadReader.applyDigests(digests),
    onCall: (caller, request, sink) =>
      components.requestRouter.handleLocally(caller, request, sink),
    onLinked(run) {
      components.replicator.resendAllTo(run);
      const session = components.net().session(run);
      if (session) fetchClusterView(components.view, session);
    },
  };
}

/** Fetches hosts, shards and keys from a sibling during a service outage. */
export async function fetchClusterView(
  view: StoreView,
  session: OutgoingSession,
): Promise<void> {
  if (view.isWatching) return;
  const args = { for: session.run };
  const cluster = await session.rpc("cluster", args, RPC_TIMEOUT_MS)
    .catch(() => undefined);
  if (cluster) view.mergeClusterView(cluster);
}

function createRpcHandlers(components: PeerComponents): RpcHandlers {
  const { view, tails, childBudgets, lateOutcomes } = components;
  return {
    seal: ({ shard, epoch }) => ({ tails: tails.seal(shard, epoch) }),
    heard: ({ runId }) => ({ silentMs: components.net().silentMs(runId) }),
    reserve_child: async (args) => {
      await childBudgets.reserveLocally(args);
      return { granted: true };
    },
    settle_child: async (args) => {
      await childBudgets.settleLocally(args);
      return { settled: true };
    },
    late_outcome: async (args) => {
      await lateOutcomes.recordLocally(args);
      return { recorded: true };
    },
    shares: ({ host, demands }) => ({
      grants: components.callerLimits.grantShares(host, demands),
    }),
    isolate: async (args) => {
      await components.isolation.enqueueSuspect(args);
      return { granted: true };
    },
    isolated: ({ fingerprint, isConvicted }) => {
      components.isolation.endTurn(fingerprint, isConvicted);
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
    timeline: ({ filter }) => ({ events: components.timeline.select(filter) }),
    status: () => ({ status: components.ownStatus() }),
    programs: () => ({ programs: components.ownPrograms() }),
  };
}

/** Fetches a sibling's table if its revision is higher than this daemon's. */
async function fetchTable(
  components: PeerComponents,
  runId: string,
): Promise<void> {
  const session = components.net().sessions().find((it) =>
    it.run.runId === runId
  );
  const above = components.view.table.revision;
  const reply = await session?.rpc("table", { above }, RPC_TIMEOUT_MS);
  if (reply?.table) components.view.applyTable(reply.table, 0);
}

import type { Role } from "@toucantrestle/http";
import { SHARD_COUNT } from "@toucantrestle/membership";
import type {
  DaemonFaults,
  FleetStatus,
  OperatorHandlers,
  ProgramSummary,
} from "@toucantrestle/operator";
import type { HostStatus, SiblingNet } from "@toucantrestle/sibling";
import type { Edit, EditRecord, Table } from "@toucantrestle/table";
import {
  mergeTimelines,
  type Timeline,
  type TimelineEvent,
  type TimelineFilter,
} from "@toucantrestle/timeline";
import type { Keyring, KeySummary } from "./keyring.ts";
import type { StoreView } from "./store_view.ts";
import type { TableEditor } from "./table_editor.ts";

const RPC_TIMEOUT_MS = 1_500;

/** Components that the operator API is served from. */
export interface OperatorComponents {
  selfRunId: string;
  view: StoreView;
  editor: TableEditor;
  keyring: Keyring;
  timeline: Timeline;
  net: () => SiblingNet;
  ownStatus: () => HostStatus;
  ownPrograms: () => ProgramSummary[];
  drain: () => void;
  setFaults: (faults: DaemonFaults) => void;
}

/** Creates the handlers of the operator API. */
export function createOperatorHandlers(
  components: OperatorComponents,
): OperatorHandlers {
  return {
    table: (): Table => components.view.table,
    edit: (edit: Edit): Promise<Table> => components.editor.apply(edit),
    history: (): Promise<EditRecord[]> => components.editor.history(),
    status: () => collectStatus(components),
    programs: () => collectPrograms(components),
    timeline: (filter) => collectTimeline(components, filter),
    keys: (): KeySummary[] => components.keyring.list(),
    createKey: (name: string, role: Role) =>
      components.keyring.create(name, role),
    revokeKey: (id: string) => components.keyring.revoke(id),
    drain: () => components.drain(),
    setFaults: (faults) => components.setFaults(faults),
  };
}

async function collectStatus(
  components: OperatorComponents,
): Promise<FleetStatus> {
  const replies = await Promise.all(
    components.net().sessions().map((session) =>
      session.rpc("status", { full: true }, RPC_TIMEOUT_MS)
        .then((it) => it.status)
        .catch(() => undefined)
    ),
  );
  const hosts = [
    components.ownStatus(),
    ...replies.filter((it) => it !== undefined),
  ];
  hosts.sort((a, b) => a.host.localeCompare(b.host));
  const reachableRunIds = new Set(hosts.map((it) => it.runId));
  const registered = [...components.view.hosts.values()];
  return {
    tableRevision: Math.max(...hosts.map((it) => it.tableRevision)),
    hosts,
    silentHosts: registered
      .filter((it) => !reachableRunIds.has(it.runId))
      .map((it) => it.host),
    shardsWithoutOwner: countShardsWithoutOwner(components, reachableRunIds),
  };
}

function countShardsWithoutOwner(
  components: OperatorComponents,
  reachableRunIds: Set<string>,
): number {
  const { shards } = components.view;
  let served = 0;
  for (const { record } of shards.values()) {
    if (reachableRunIds.has(record.owner.runId)) served += 1;
  }
  return SHARD_COUNT - served;
}

async function collectPrograms(
  components: OperatorComponents,
): Promise<ProgramSummary[]> {
  const replies = await Promise.all(
    components.net().sessions().map((session) =>
      session.rpc("programs", { full: true }, RPC_TIMEOUT_MS)
        .then((it) => it.programs)
        .catch(() => [])
    ),
  );
  return [components.ownPrograms(), ...replies].flat();
}

async function collectTimeline(
  components: OperatorComponents,
  filter: TimelineFilter,
): Promise<TimelineEvent[]> {
  const replies = await Promise.all(
    components.net().sessions().map((session) =>
      session.rpc("timeline", { filter }, RPC_TIMEOUT_MS)
        .then((it) => it.events)
        .catch(() => [])
    ),
  );
  return mergeTimelines([components.timeline.select(filter), ...replies]);
}

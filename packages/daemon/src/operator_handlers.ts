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

/** Parts that the operators' protocol needs. */
export interface OperatorParts {
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

/** Creates what a daemon does for operators. */
export function createOperatorHandlers(parts: OperatorParts): OperatorHandlers {
  return {
    table: (): Table => parts.view.table,
    edit: (edit: Edit): Promise<Table> => parts.editor.apply(edit),
    history: (): Promise<EditRecord[]> => parts.editor.history(),
    status: () => gatherStatus(parts),
    programs: () => gatherPrograms(parts),
    timeline: (filter) => gatherTimeline(parts, filter),
    keys: (): KeySummary[] => parts.keyring.list(),
    createKey: (name: string, role: Role) => parts.keyring.create(name, role),
    revokeKey: (id: string) => parts.keyring.revoke(id),
    drain: () => parts.drain(),
    setFaults: (faults) => parts.setFaults(faults),
  };
}

async function gatherStatus(parts: OperatorParts): Promise<FleetStatus> {
  const answers = await Promise.all(
    parts.net().sessions().map((session) =>
      session.rpc("status", { full: true }, RPC_TIMEOUT_MS)
        .then((it) => it.status)
        .catch(() => undefined)
    ),
  );
  const hosts = [
    parts.ownStatus(),
    ...answers.filter((it) => it !== undefined),
  ];
  hosts.sort((a, b) => a.host.localeCompare(b.host));
  const answered = new Set(hosts.map((it) => it.runId));
  const registered = [...parts.view.hosts.values()];
  return {
    tableRevision: Math.max(...hosts.map((it) => it.tableRevision)),
    hosts,
    silentHosts: registered
      .filter((it) => !answered.has(it.runId))
      .map((it) => it.host),
    shardsWithoutOwner: countOrphans(parts, answered),
  };
}

function countOrphans(parts: OperatorParts, answered: Set<string>): number {
  const { shards } = parts.view;
  let served = 0;
  for (const { record } of shards.values()) {
    if (answered.has(record.owner.runId)) served += 1;
  }
  return SHARD_COUNT - served;
}

async function gatherPrograms(
  parts: OperatorParts,
): Promise<ProgramSummary[]> {
  const answers = await Promise.all(
    parts.net().sessions().map((session) =>
      session.rpc("programs", { full: true }, RPC_TIMEOUT_MS)
        .then((it) => it.programs)
        .catch(() => [])
    ),
  );
  return [parts.ownPrograms(), ...answers].flat();
}

async function gatherTimeline(
  parts: OperatorParts,
  filter: TimelineFilter,
): Promise<TimelineEvent[]> {
  const answers = await Promise.all(
    parts.net().sessions().map((session) =>
      session.rpc("timeline", { filter }, RPC_TIMEOUT_MS)
        .then((it) => it.events)
        .catch(() => [])
    ),
  );
  return mergeTimelines([parts.timeline.select(filter), ...answers]);
}

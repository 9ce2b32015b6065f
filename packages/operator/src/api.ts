import type { Principal, Role } from "@toucantrestle/http";
import type { HostStatus, ProgramSummary } from "@toucantrestle/sibling";
import type { Edit, EditRecord, Table } from "@toucantrestle/table";
import type { TimelineEvent, TimelineFilter } from "@toucantrestle/timeline";

export type { HostStatus, ProgramSummary };

/** State of the whole fleet as one daemon gathers it. */
export interface FleetStatus {
  /** Newest revision of the table that the asked daemon knows. */
  tableRevision: number;
  hosts: HostStatus[];
  /** Registered hosts that did not answer. */
  silentHosts: string[];
  shardsWithoutOwner: number;
}

/** A key without its secret. */
export interface KeyInfo {
  id: string;
  name: string;
  role: Role;
  createdAt: number;
}

/** Fault switches of a daemon, for tests. */
export interface DaemonFaults {
  /** Hosts whose links are cut; `store` cuts the key-value service. */
  cut: string[];
}

/** What the daemon does for operators. */
export interface OperatorHandlers {
  table(): Table;
  edit(edit: Edit): Promise<Table>;
  history(): Promise<EditRecord[]>;
  status(): Promise<FleetStatus>;
  programs(): Promise<ProgramSummary[]>;
  timeline(filter: TimelineFilter): Promise<TimelineEvent[]>;
  keys(): KeyInfo[];
  createKey(name: string, role: Role): Promise<string>;
  revokeKey(id: string): Promise<number>;
  /** Starts a graceful stop. */
  drain(by: Principal): void;
  setFaults(faults: DaemonFaults): void;
}

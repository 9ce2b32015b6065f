import type { Principal, Role } from "@toucantrestle/http";
import type { HostStatus, ProgramSummary } from "@toucantrestle/sibling";
import type { Edit, EditRecord, Table } from "@toucantrestle/table";
import type { TimelineEvent, TimelineFilter } from "@toucantrestle/timeline";

export type { HostStatus, ProgramSummary };

/** Fleet status as collected by one daemon. */
export interface FleetStatus {
  /** Latest table revision known to the daemon that serves the request. */
  tableRevision: number;
  hosts: HostStatus[];
  /** Registered hosts that did not respond. */
  silentHosts: string[];
  shardsWithoutOwner: number;
}

/** Metadata of a key, without the secret. */
export interface KeyInfo {
  id: string;
  name: string;
  role: Role;
  createdAt: number;
}

/** Faults to inject into a daemon; for tests only. */
export interface DaemonFaults {
  /** Hosts to disconnect; `store` disconnects the key-value service. */
  cut: string[];
}

/** Operations that the daemon implements for the operators' API. */
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
  /** Starts a graceful shutdown. */
  drain(by: Principal): void;
  setFaults(faults: DaemonFaults): void;
}

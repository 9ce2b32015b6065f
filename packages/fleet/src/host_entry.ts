import { isLinkAddress } from "@toucantrestle/link";
import * as z from "zod";
import type { ReplicaHost, View } from "@toucantrestle/turn_log";

/** Role of a host: `front` serves callers, `turn_store` stores replicas. */
export type HostRole = "front" | "turn_store";

const ADDRESS = z.string().refine(isLinkAddress);

const HOST_ENTRY_SCHEMA = z.object({
  id: z.string().min(1),
  host: z.string().min(1),
  role: z.enum(["front", "turn_store"]),
  linkAddress: ADDRESS,
  callerAddress: ADDRESS.nullable(),
  dataCentre: z.string(),
});

/** Registry entry of a host, written by the host itself. */
export interface HostEntry {
  /** Name of a front, or id of a turn store's disk. */
  id: string;
  host: string;
  role: HostRole;
  /** `IP:PORT` of its link server. */
  linkAddress: string;
  /** Address for callers; null for a turn store. */
  callerAddress: string | null;
  dataCentre: string;
}

const REPLICA_HOST_SCHEMA = z.object({
  id: z.string(),
  host: z.string(),
  address: ADDRESS,
  dataCentre: z.string(),
});

const VIEW_SCHEMA = z.object({
  number: z.number().int().positive(),
  tolerate: z.number().int().nonnegative(),
  members: z.array(REPLICA_HOST_SCHEMA),
  former: z.array(REPLICA_HOST_SCHEMA),
});

/** Parses a host entry. Returns undefined if the text is not a valid one. */
export function parseHostEntry(text: string): HostEntry | undefined {
  return parseJson(text, HOST_ENTRY_SCHEMA);
}

/** Parses a view. Returns undefined if the text is not a valid one. */
export function parseView(text: string): View | undefined {
  return parseJson(text, VIEW_SCHEMA);
}

/** Converts the entry of a turn store to the form that views contain. */
export function toReplicaHost(entry: HostEntry): ReplicaHost {
  const { id, host, linkAddress, dataCentre } = entry;
  return { id, host, address: linkAddress, dataCentre };
}

function parseJson<T>(text: string, schema: z.ZodType<T>): T | undefined {
  try {
    return schema.parse(JSON.parse(text));
  } catch {
    return undefined;
  }
}

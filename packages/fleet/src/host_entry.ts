import * as z from "zod";
import type { ReplicaHost, View } from "@toucantrestle/turn_log";

/** What a host does. */
export type HostRole = "front" | "turn_store";

const HOST_ENTRY = z.object({
  id: z.string().min(1),
  host: z.string().min(1),
  role: z.enum(["front", "turn_store"]),
  linkAddress: z.string().min(1),
  callerAddress: z.string().nullable(),
  dataCentre: z.string(),
});

/** A host as it registered itself. */
export interface HostEntry {
  /** Name of a front, or identity of a turn store's disk. */
  id: string;
  host: string;
  role: HostRole;
  /** Where its link listens. */
  linkAddress: string;
  /** Where callers connect; null for a turn store. */
  callerAddress: string | null;
  dataCentre: string;
}

const REPLICA_HOST = z.object({
  id: z.string(),
  host: z.string(),
  address: z.string(),
  dataCentre: z.string(),
});

const VIEW = z.object({
  number: z.number().int().positive(),
  tolerate: z.number().int().nonnegative(),
  members: z.array(REPLICA_HOST),
  former: z.array(REPLICA_HOST),
});

/** Decodes an entry; undefined where it is not one. */
export function readHostEntry(text: string): HostEntry | undefined {
  return readChecked(text, HOST_ENTRY);
}

/** Decodes a view; undefined where it is not one. */
export function readView(text: string): View | undefined {
  return readChecked(text, VIEW);
}

/** The host of a turn store as views name it. */
export function replicaHostOf(entry: HostEntry): ReplicaHost {
  const { id, host, linkAddress, dataCentre } = entry;
  return { id, host, address: linkAddress, dataCentre };
}

function readChecked<T>(text: string, schema: z.ZodType<T>): T | undefined {
  try {
    return schema.parse(JSON.parse(text));
  } catch {
    return undefined;
  }
}

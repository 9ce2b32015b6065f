/**
 * Checks of what other writers have stored in the key-value service.
 *
 * @module
 */
import type { HostRecord, ShardRecord } from "@toucantrestle/membership";
import type { Conviction } from "@toucantrestle/sibling";
import { createTableView, type Table } from "@toucantrestle/table";
import * as z from "zod";
import type { KeyRecord } from "./store_view.ts";

const run = z.looseObject({
  runId: z.string(),
  host: z.string(),
  dataCentre: z.string(),
  address: z.string(),
  siblingAddress: z.string(),
});
const host = run.extend({ state: z.string() });
const shard = z.looseObject({
  shard: z.number(),
  epoch: z.number(),
  owner: run,
  log: z.looseObject({
    epoch: z.number(),
    generation: z.number(),
    holders: z.array(run),
  }),
  firstChunk: z.number(),
});
const key = z.looseObject({
  name: z.string(),
  role: z.string(),
  createdAt: z.number(),
});
const conviction = z.looseObject({
  fingerprint: z.string(),
  caller: z.string(),
  program: z.string(),
  at: z.number(),
});
const table = z.looseObject({
  revision: z.number(),
  rows: z.array(z.looseObject({
    id: z.string(),
    cells: z.record(z.string(), z.unknown()),
  })),
  recentWrites: z.array(z.unknown()),
});

/**
 * Returns the registration of a daemon.
 *
 * @throws {Error} if it is malformed, as do the other functions of this module
 */
export function parseHost(text: string): HostRecord {
  return host.parse(JSON.parse(text)) as unknown as HostRecord;
}

/** Returns the record of a shard. */
export function parseShard(text: string): ShardRecord {
  return shard.parse(JSON.parse(text)) as unknown as ShardRecord;
}

/** Returns the record of a key. */
export function parseKey(text: string): KeyRecord {
  return key.parse(JSON.parse(text)) as unknown as KeyRecord;
}

/** Returns the record of a request that crashes upstreams. */
export function parseConviction(text: string): Conviction {
  return conviction.parse(JSON.parse(text));
}

/** Returns a table of which a view can be created. */
export function parseTable(text: string): Table {
  const parsed = table.parse(JSON.parse(text)) as unknown as Table;
  createTableView(parsed);
  return parsed;
}

/** Says in one line what is wrong with a record. */
export function describeDefect(err: unknown): string {
  if (err instanceof z.ZodError) {
    const [issue] = err.issues;
    return `${issue?.path.join(".")}: ${issue?.message}`;
  }
  return err instanceof Error ? err.message : String(err);
}

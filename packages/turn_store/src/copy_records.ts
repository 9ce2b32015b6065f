import type { LinkClient } from "@toucantrestle/link";
import type { Logger } from "@toucantrestle/log";
import {
  type Inventory,
  laterOrigin,
  type Replica,
  type TurnLogRecord,
  type TurnRecord,
  type View,
} from "@toucantrestle/turn_log";
import type { StoreMethods, StoreNotices } from "./messages.ts";

type StoreLink = LinkClient<StoreMethods, StoreNotices>;

const INVENTORY_TIMEOUT_MS = 1_500;
const FETCH_TIMEOUT_MS = 2_000;
const MAX_IDS_PER_FETCH = 400;

/** A replica to copy from, with the records that it offers. */
interface Source {
  link: StoreLink;
  inventory: Inventory;
}

/**
 * Copies missing records to this replica from members of the previous view.
 * Returns the number of copied records, or undefined if too few sources
 * returned an inventory or if a transfer failed.
 */
export async function copyRecords(
  opts: {
    view: View;
    /** Identity of this replica's disk. */
    self: string;
    sources: StoreLink[];
    /** Minimum number of sources that must return their inventory. */
    requiredSources: number;
    replica: Replica;
    /** Persists copied records. */
    persist: (records: TurnLogRecord[]) => Promise<void>;
    log: Logger;
  },
): Promise<number | undefined> {
  const requests = opts.sources.map((link) => requestInventory(link, opts));
  const sources = (await Promise.all(requests)).filter((it) =>
    it !== undefined
  );
  if (sources.length < opts.requiredSources) return undefined;
  let copied = 0;
  for (const source of sources) {
    copied += await copySpendRecords(source.inventory, opts);
    const turnCount = await copyMissingTurns(source, opts);
    if (turnCount === undefined) return undefined;
    copied += turnCount;
  }
  return copied;
}

async function requestInventory(
  link: StoreLink,
  opts: { view: View; self: string; log: Logger },
): Promise<Source | undefined> {
  try {
    const reply = await link.request(
      "inventory",
      { view: opts.view, member: opts.self },
      INVENTORY_TIMEOUT_MS,
    );
    if (reply.status === "ok") return { link, inventory: reply.inventory };
    opts.log.debug(`no inventory from ${link.address}: status ${reply.status}`);
  } catch (err) {
    opts.log.debug(
      `inventory request to ${link.address} failed: ${String(err)}`,
    );
  }
  return undefined;
}

/** Persists spend records that are unknown here or not settled here yet. */
async function copySpendRecords(
  inventory: Inventory,
  opts: {
    replica: Replica;
    persist: (records: TurnLogRecord[]) => Promise<void>;
  },
): Promise<number> {
  const missing = inventory.spends.filter((it) => {
    const known = opts.replica.spendingOf(it.program)[it.turn];
    if (!known) return true;
    const origin = opts.replica.originOf(it.program, it.turn);
    if (laterOrigin(origin, it.origin) !== origin) return true;
    return known.settled === undefined && it.settled !== undefined;
  });
  await opts.persist(missing);
  return missing.length;
}

/** Fetches and persists missing turns; undefined if a fetch failed. */
async function copyMissingTurns(
  source: Source,
  opts: {
    replica: Replica;
    persist: (records: TurnLogRecord[]) => Promise<void>;
    log: Logger;
  },
): Promise<number | undefined> {
  let missing = source.inventory.turns.filter((id) =>
    !opts.replica.hasTurn(id)
  );
  let copied = 0;
  while (missing.length > 0) {
    const turns = await fetchTurnBatch(source.link, missing, opts.log);
    if (turns === undefined) return undefined;
    await opts.persist(turns);
    copied += turns.length;
    const lastTurn = turns.at(-1);
    // A requested id that precedes the last returned turn has expired there.
    const nextIndex = lastTurn
      ? missing.indexOf(lastTurn.id) + 1
      : MAX_IDS_PER_FETCH;
    missing = missing.slice(Math.max(1, nextIndex))
      .filter((id) => !opts.replica.hasTurn(id));
  }
  return copied;
}

async function fetchTurnBatch(
  link: StoreLink,
  missing: string[],
  log: Logger,
): Promise<TurnRecord[] | undefined> {
  try {
    const ids = missing.slice(0, MAX_IDS_PER_FETCH);
    return (await link.request("fetch", { ids }, FETCH_TIMEOUT_MS)).turns;
  } catch (err) {
    log.debug(`fetching turns from ${link.address} failed: ${String(err)}`);
    return undefined;
  }
}

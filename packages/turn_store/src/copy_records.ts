import type { LinkClient } from "@toucantrestle/link";
import type { Logger } from "@toucantrestle/log";
import type {
  Inventory,
  Replica,
  TurnLogRecord,
  TurnRecord,
  View,
} from "@toucantrestle/turn_log";
import type { StoreMethods, StoreNotices } from "./messages.ts";

type StoreLink = LinkClient<StoreMethods, StoreNotices>;

const INVENTORY_TIMEOUT_MS = 1_500;
const FETCH_TIMEOUT_MS = 2_000;
const IDS_PER_FETCH = 400;

interface Source {
  link: StoreLink;
  inventory: Inventory;
}

/**
 * Copies what this replica lacks from members of the view before. Returns the
 * number of records, or undefined when too few of them answered.
 */
export async function copyRecords(
  opts: {
    view: View;
    /** Identity of this replica. */
    self: string;
    sources: StoreLink[];
    /** Sources that must hand out everything. */
    needed: number;
    replica: Replica;
    keep: (records: TurnLogRecord[]) => Promise<void>;
    log: Logger;
  },
): Promise<number | undefined> {
  const asked = opts.sources.map((link) => askInventory(link, opts));
  const sources = (await Promise.all(asked)).filter((it) => it !== undefined);
  if (sources.length < opts.needed) return undefined;
  let copied = 0;
  for (const source of sources) {
    copied += await keepSpends(source.inventory, opts);
    const turns = await fetchMissing(source, opts);
    if (turns === undefined) return undefined;
    copied += turns;
  }
  return copied;
}

async function askInventory(
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
    opts.log.debug(`${link.address} hands out nothing: ${reply.status}`);
  } catch (err) {
    opts.log.debug(`no inventory: ${String(err)}`);
  }
  return undefined;
}

async function keepSpends(
  inventory: Inventory,
  opts: { replica: Replica; keep: (records: TurnLogRecord[]) => Promise<void> },
): Promise<number> {
  const missing = inventory.spends.filter((it) => {
    const known = opts.replica.spendingOf(it.program)[it.turn];
    if (!known) return true;
    return known.settled === undefined && it.settled !== undefined;
  });
  await opts.keep(missing);
  return missing.length;
}

async function fetchMissing(
  source: Source,
  opts: {
    replica: Replica;
    keep: (records: TurnLogRecord[]) => Promise<void>;
    log: Logger;
  },
): Promise<number | undefined> {
  let missing = source.inventory.turns.filter((id) =>
    !opts.replica.hasTurn(id)
  );
  let copied = 0;
  while (missing.length > 0) {
    const turns = await fetchSome(source.link, missing, opts.log);
    if (turns === undefined) return undefined;
    await opts.keep(turns);
    copied += turns.length;
    const last = turns.at(-1);
    // An id that was not handed out has expired at the source.
    const next = last ? missing.indexOf(last.id) + 1 : IDS_PER_FETCH;
    missing = missing.slice(Math.max(1, next))
      .filter((id) => !opts.replica.hasTurn(id));
  }
  return copied;
}

async function fetchSome(
  link: StoreLink,
  missing: string[],
  log: Logger,
): Promise<TurnRecord[] | undefined> {
  try {
    const ids = missing.slice(0, IDS_PER_FETCH);
    return (await link.request("fetch", { ids }, FETCH_TIMEOUT_MS)).turns;
  } catch (err) {
    log.debug(`turns cannot be copied: ${String(err)}`);
    return undefined;
  }
}

import type { MemoryPurpose } from "@toucantrestle/memory";

/** Bytes that are held for one reader. */
export interface HeldBytes<T> {
  /** What holds them, for the caller of `decidePressure`. */
  holder: T;
  purpose: MemoryPurpose;
  bytes: number;
  /** Time for which its reader has not taken all that was sent, in ms. */
  waitingMs: number;
  /**
   * Whether its request must not run again, so that what was received for it
   * cannot be had once more.
   */
  isIrreplaceable: boolean;
  /** Whether it cannot be cut. */
  isFixed?: boolean;
}

/** What a front does about the bytes that it holds. */
export interface PressureDecision<T> {
  heldBytes: number;
  bytesByPurpose: Partial<Record<MemoryPurpose, number>>;
  /** Whether new requests are refused. */
  isRefusing: boolean;
  /** Readers to disconnect. */
  cut: T[];
}

/**
 * Part of the memory limit that buffers may use. The rest is for the program,
 * its tables and garbage; an idle front uses some 80 MB of at least 178 MB.
 */
const BUDGET_FRACTION = 0.3;
/** Fractions of the budget from which each measure is taken. */
const REFUSE_AT = 0.7;
const CUT_AT = 0.9;
/** Readers are disconnected until this fraction of the budget is held. */
const CUT_TO = 0.8;
/**
 * Slow readers must not keep others from being served: after this time of
 * refusals, readers are disconnected until requests are served again.
 */
const MAX_REFUSING_MS = 1_000;
const CUT_TO_SERVE = 0.6;
/** Part of the budget that is worth a cut of what no reader waits for. */
const MIN_CUT = 0.005;

/** Returns the bytes that buffers may use, for the limit of the process. */
export function bufferBudget(memoryBytes: number): number {
  return BUDGET_FRACTION * memoryBytes;
}

/**
 * Decides about the bytes that are held. Streams and responses of requests that
 * may run again are cut first, the slowest reader first.
 */
export function decidePressure<T>(
  held: readonly HeldBytes<T>[],
  { budgetBytes, refusingMs }: {
    budgetBytes: number;
    /** Time for which new requests have been refused. */
    refusingMs: number;
  },
): PressureDecision<T> {
  const bytesByPurpose: Partial<Record<MemoryPurpose, number>> = {};
  for (const { purpose, bytes } of held) {
    bytesByPurpose[purpose] = (bytesByPurpose[purpose] ?? 0) + bytes;
  }
  const heldBytes = held.reduce((sum, it) => sum + it.bytes, 0);
  const fill = heldBytes / budgetBytes;
  const isRefusing = fill >= REFUSE_AT;
  const isStuck = isRefusing && refusingMs >= MAX_REFUSING_MS;
  const targetBytes = (isStuck ? CUT_TO_SERVE : CUT_TO) * budgetBytes;
  return {
    heldBytes,
    bytesByPurpose,
    isRefusing,
    cut: fill >= CUT_AT || isStuck
      ? select(held, {
        excessBytes: heldBytes - targetBytes,
        minBytes: MIN_CUT * budgetBytes,
        isStuck,
      })
      : [],
  };
}

/** Returns the slowest readers, and if these are too few, the heaviest others. */
function select<T>(
  held: readonly HeldBytes<T>[],
  { excessBytes, minBytes, isStuck }: {
    excessBytes: number;
    minBytes: number;
    isStuck: boolean;
  },
): T[] {
  const readers = slowest(held, excessBytes);
  const cut = new Set(readers);
  const leftBytes = held.reduce(
    (left, it) => cut.has(it.holder) ? left - it.bytes : left,
    excessBytes,
  );
  if (!isStuck) return readers;
  const heavy = held.filter((it) => !it.isFixed && it.bytes >= minBytes);
  return [...readers, ...heaviest(heavy, leftBytes)];
}

/**
 * Returns the heaviest that no reader waits for and that hold at least this many
 * bytes together: what is sent to this front and does not end.
 */
function heaviest<T>(held: readonly HeldBytes<T>[], excessBytes: number): T[] {
  const order = held.filter((it) => it.bytes > 0 && it.waitingMs === 0)
    .sort((a, b) =>
      Number(a.isIrreplaceable) - Number(b.isIrreplaceable) || b.bytes - a.bytes
    );
  return takeBytes(order, excessBytes);
}

/** Returns the slowest readers that hold at least this many bytes together. */
function slowest<T>(held: readonly HeldBytes<T>[], excessBytes: number): T[] {
  const order = held.filter((it) => it.bytes > 0 && it.waitingMs > 0)
    .sort((a, b) =>
      Number(a.isIrreplaceable) - Number(b.isIrreplaceable) ||
      b.waitingMs - a.waitingMs
    );
  return takeBytes(order, excessBytes);
}

/** Returns the first holders that hold at least this many bytes together. */
function takeBytes<T>(
  order: readonly HeldBytes<T>[],
  bytesWanted: number,
): T[] {
  const cut: T[] = [];
  let freedBytes = 0;
  for (const { holder, bytes } of order) {
    if (freedBytes >= bytesWanted) break;
    freedBytes += bytes;
    cut.push(holder);
  }
  return cut;
}

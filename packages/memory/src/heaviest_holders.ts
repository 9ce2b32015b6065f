import type { MemoryHolder } from "./memory_holders.ts";

/** A holder that is to be cut, and the memory that it keeps. */
export interface HeavyHolder {
  holder: MemoryHolder;
  /** In bytes. */
  keptBytes: number;
}

/** A holder of less is not worth a cut: the memory is used by something else. */
const MIN_CUT_BYTES = 262_144;

/**
 * Returns the heaviest holders that can be cut and keep `excessBytes` together,
 * at least one if there is any. What cannot be had once more comes last.
 */
export function heaviestHolders(
  holders: Iterable<MemoryHolder>,
  excessBytes: number,
): HeavyHolder[] {
  const heavy = [...holders]
    .filter((it) => it.cut !== undefined)
    .map((holder) => ({ holder, keptBytes: holder.keptBytes() }))
    .filter((it) => it.keptBytes >= MIN_CUT_BYTES)
    .sort((a, b) => rankOf(a) - rankOf(b) || b.keptBytes - a.keptBytes);
  const chosen: HeavyHolder[] = [];
  let freedBytes = 0;
  for (const it of heavy) {
    if (chosen.length > 0 && freedBytes >= excessBytes) break;
    freedBytes += it.keptBytes;
    chosen.push(it);
  }
  return chosen;
}

function rankOf({ holder }: HeavyHolder): number {
  return Number(holder.isIrreplaceable ?? false);
}

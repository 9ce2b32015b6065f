import { createNoopLoggers } from "@toucantrestle/log";
import { createSystemTimer, createTimerScope } from "@toucantrestle/timer";
import type { TurnRecord } from "@toucantrestle/turn_log";
import { openStoreDisk, type StoreDisk } from "../src/mod.ts";

const SEGMENT_BYTES = 6_000;
/** Larger than what a summary holds itself, so that it is read when needed. */
const LARGE_BYTES = 2_000;
const KEEP_MS = 600_000;
const MAX_SET_ASIDE_BYTES = 1_000_000;

/** Number of records that `appendTurns` appends. */
export const RECORDS_PER_LIFE = 8;

export const timer = createTimerScope(createSystemTimer());

/** Opens a disk with small segments. */
export function openDisk(
  folder: string,
  opts: { maxSetAsideBytes?: number } = {},
): Promise<StoreDisk> {
  return openStoreDisk({
    folder,
    maxBytes: 10_000_000,
    maxSetAsideBytes: MAX_SET_ASIDE_BYTES,
    segmentBytes: SEGMENT_BYTES,
    timer,
    log: createNoopLoggers()("journal"),
    ...opts,
  });
}

/** Returns a turn; every other one is large. */
export function createTurn(id: string, i: number): TurnRecord {
  const bytes = i % 2 === 0 ? LARGE_BYTES : 10;
  return {
    kind: "turn",
    id,
    prompt: Buffer.alloc(bytes, i + 1),
    upstream: "u",
    tokens: 1,
    expiresAt: timer.now() + KEEP_MS,
  };
}

/** Appends records, and returns their ids. */
export async function appendTurns(
  disk: StoreDisk,
  life: number,
): Promise<string[]> {
  const ids: string[] = [];
  for (let i = 0; i < RECORDS_PER_LIFE; i++) {
    const turn = createTurn(`life${life}-${i}`, i);
    await disk.journal.append(turn);
    ids.push(turn.id);
  }
  return ids;
}

/**
 * Writes a folder in three lives: two that are killed, and one that stops. All
 * that they synced is known to have been.
 */
export async function writeFolder(folder: string): Promise<string[]> {
  const ids: string[] = [];
  for (const life of [1, 2, 3]) {
    const disk = await openDisk(folder);
    ids.push(...await appendTurns(disk, life));
    if (life < 3) await disk.close();
    else await disk.stop();
  }
  return ids;
}

/** Reads all records; undefined if that shows that the disk is damaged. */
export function readAll(disk: StoreDisk): string[] | undefined {
  let isDamaged = false;
  disk.onDamage(() => isDamaged = true);
  const ids: string[] = [];
  for (const frame of disk.takeFrames()) {
    try {
      ids.push((frame.read() as TurnRecord).id);
    } catch {
      // Damage is reported.
    }
  }
  return isDamaged ? undefined : ids.sort();
}

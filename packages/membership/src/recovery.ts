import type { JournalEntry } from "@toucantrestle/program";
import {
  compareLogIds,
  sealQuorum,
  type ShardLog,
  type ShardRecord,
} from "./shard.ts";
import type { Tail } from "./tail_store.ts";

/** A holder's answer to a seal. */
export interface SealReply {
  runId: string;
  tails: Tail[];
}

/** What a successor rebuilt. */
export interface RecoveredJournal {
  entries: JournalEntry[];
  /** Last record that stands in a flushed chunk. */
  flushedUpTo: number;
}

/** Tells whether enough holders of the old journal have sealed it. */
export function hasSealQuorum(log: ShardLog, replies: SealReply[]): boolean {
  const sealed = log.holders.filter((run) =>
    replies.some((reply) => reply.runId === run.runId)
  );
  return sealed.length >= sealQuorum(log.holders.length);
}

/**
 * Rebuilds a shard's journal from its flushed chunks and the sealed tails.
 * Entries after a gap cannot have been kept and are dropped.
 */
export function recoverJournal(
  record: ShardRecord,
  chunks: JournalEntry[][],
  replies: SealReply[],
): RecoveredJournal {
  const byLsn = new Map<number, JournalEntry>();
  for (const entry of chunks.flat()) byLsn.set(entry.lsn, entry);
  const flushedUpTo = Math.max(0, ...byLsn.keys());
  for (const tail of replies.flatMap((reply) => reply.tails)) {
    if (compareLogIds(tail.log, record.log) !== 0) continue;
    for (const entry of tail.entries) {
      if (entry.lsn > flushedUpTo) byLsn.set(entry.lsn, entry);
    }
  }
  const ordered = [...byLsn.values()].sort((a, b) => a.lsn - b.lsn);
  return { entries: dropAfterGap(ordered, flushedUpTo), flushedUpTo };
}

function dropAfterGap(
  ordered: JournalEntry[],
  flushedUpTo: number,
): JournalEntry[] {
  const end = ordered.findIndex((entry, index) => {
    const before = ordered[index - 1];
    return before !== undefined && entry.lsn > flushedUpTo &&
      entry.lsn !== before.lsn + 1;
  });
  return end === -1 ? ordered : ordered.slice(0, end);
}

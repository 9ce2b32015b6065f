import type { JournalEntry } from "@toucantrestle/program";
import {
  compareLogIds,
  sealQuorum,
  type ShardLog,
  type ShardRecord,
} from "./shard.ts";
import type { Tail } from "./tail_store.ts";

/** Reply of a holder to a `seal` request. */
export interface SealReply {
  runId: string;
  tails: Tail[];
}

/** Shard journal as rebuilt by the new owner. */
export interface RecoveredJournal {
  entries: JournalEntry[];
  /** LSN of the last record in a flushed chunk; 0 without chunks. */
  flushedUpTo: number;
}

/** Returns whether a quorum of the old journal's holders has sealed it. */
export function hasSealQuorum(log: ShardLog, replies: SealReply[]): boolean {
  const sealed = log.holders.filter((run) =>
    replies.some((reply) => reply.runId === run.runId)
  );
  return sealed.length >= sealQuorum(log.holders.length);
}

/**
 * Rebuilds a shard's journal from its flushed chunks and the sealed tails.
 * Entries after a gap in the LSNs cannot have been committed and are dropped.
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
  return { entries: truncateAtGap(ordered, flushedUpTo), flushedUpTo };
}

function truncateAtGap(
  ordered: JournalEntry[],
  flushedUpTo: number,
): JournalEntry[] {
  const end = ordered.findIndex((entry, index) => {
    const previous = ordered[index - 1];
    return previous !== undefined && entry.lsn > flushedUpTo &&
      entry.lsn !== previous.lsn + 1;
  });
  return end === -1 ? ordered : ordered.slice(0, end);
}

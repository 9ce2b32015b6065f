import { appendQuorum, type LogId, type ShardLog } from "./shard.ts";

interface ReplicationState {
  log: ShardLog;
  ackedUpTo: Map<string, number>;
}

/**
 * Tracks which records of a shard's journal are committed, on behalf of the
 * shard's owner. A record is committed once it is flushed to the platform's
 * key-value service or acknowledged by a quorum of holders. While a rotation to
 * new holders is in flight, a record needs a quorum of both the old and the new
 * holders, because either journal may become the active one.
 */
export class CommitTracker {
  #logs: ReplicationState[];
  #flushedUpTo: number;

  constructor(log: ShardLog, flushedUpTo: number) {
    this.#logs = [{ log, ackedUpTo: new Map() }];
    this.#flushedUpTo = flushedUpTo;
  }

  /** LSN of the last record that is flushed to the key-value service. */
  get flushedUpTo(): number {
    return this.#flushedUpTo;
  }

  /** LSN of the last committed record. */
  get committedUpTo(): number {
    const replicated = this.#logs.map(replicatedUpTo);
    return Math.max(this.#flushedUpTo, Math.min(...replicated));
  }

  /** Journals to which new records must be replicated. */
  get logs(): ShardLog[] {
    return this.#logs.map((it) => it.log);
  }

  /** Marks all records up to `lsn` as acknowledged by a holder. */
  acknowledge(runId: string, log: LogId, lsn: number): void {
    const tracked = this.#logs.find((it) =>
      it.log.epoch === log.epoch && it.log.generation === log.generation
    );
    if (!tracked) return;
    const previous = tracked.ackedUpTo.get(runId) ?? 0;
    tracked.ackedUpTo.set(runId, Math.max(previous, lsn));
  }

  /** Marks all records up to `lsn` as flushed. */
  markFlushed(lsn: number): void {
    this.#flushedUpTo = Math.max(this.#flushedUpTo, lsn);
  }

  /** Starts a rotation to the journal `log` with new holders. */
  beginRotation(log: ShardLog): void {
    this.#logs = [this.#logs[0] as ReplicationState, {
      log,
      ackedUpTo: new Map(),
    }];
  }

  /** Ends a rotation. Only the journal `active` is tracked from now on. */
  endRotation(active: LogId): void {
    this.#logs = this.#logs.filter((it) =>
      it.log.epoch === active.epoch && it.log.generation === active.generation
    );
  }
}

function replicatedUpTo(tracked: ReplicationState): number {
  const { holders } = tracked.log;
  const quorum = appendQuorum(holders.length);
  if (quorum === 0) return 0;
  const acks = holders.map((run) => tracked.ackedUpTo.get(run.runId) ?? 0);
  acks.sort((a, b) => b - a);
  return acks[quorum - 1] ?? 0;
}

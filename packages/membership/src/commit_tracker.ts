import { appendQuorum, type LogId, type ShardLog } from "./shard.ts";

interface TrackedLog {
  log: ShardLog;
  ackedUpTo: Map<string, number>;
}

/**
 * Owner's view of how far a shard's journal is kept: flushed to the platform's
 * service, or held by a quorum of holders. While a rotation to new holders is
 * in flight a record needs a quorum of the old and of the new holders, since
 * either journal may turn out to be the one that counts.
 */
export class CommitTracker {
  #logs: TrackedLog[];
  #flushedUpTo: number;

  constructor(log: ShardLog, flushedUpTo: number) {
    this.#logs = [{ log, ackedUpTo: new Map() }];
    this.#flushedUpTo = flushedUpTo;
  }

  /** Last record that is flushed. */
  get flushedUpTo(): number {
    return this.#flushedUpTo;
  }

  /** Last record that is kept. */
  get keptUpTo(): number {
    const held = this.#logs.map(heldUpTo);
    return Math.max(this.#flushedUpTo, Math.min(...held));
  }

  /** Journals that records must be sent to. */
  get logs(): ShardLog[] {
    return this.#logs.map((it) => it.log);
  }

  /** Notes that a holder has everything up to `lsn`. */
  acknowledge(runId: string, log: LogId, lsn: number): void {
    const tracked = this.#logs.find((it) =>
      it.log.epoch === log.epoch && it.log.generation === log.generation
    );
    if (!tracked) return;
    const known = tracked.ackedUpTo.get(runId) ?? 0;
    tracked.ackedUpTo.set(runId, Math.max(known, lsn));
  }

  /** Notes that everything up to `lsn` is flushed. */
  flushed(lsn: number): void {
    this.#flushedUpTo = Math.max(this.#flushedUpTo, lsn);
  }

  /** Starts a rotation to new holders. */
  beginRotation(log: ShardLog): void {
    this.#logs = [this.#logs[0] as TrackedLog, {
      log,
      ackedUpTo: new Map(),
    }];
  }

  /** Ends a rotation, with the journal that counts from now on. */
  endRotation(winner: LogId): void {
    this.#logs = this.#logs.filter((it) =>
      it.log.epoch === winner.epoch && it.log.generation === winner.generation
    );
  }
}

function heldUpTo(tracked: TrackedLog): number {
  const { holders } = tracked.log;
  const quorum = appendQuorum(holders.length);
  if (quorum === 0) return 0;
  const acks = holders.map((run) => tracked.ackedUpTo.get(run.runId) ?? 0);
  acks.sort((a, b) => b - a);
  return acks[quorum - 1] ?? 0;
}

import type {
  ConfigStore,
  StoreItem,
  Txn,
  TxnResult,
} from "@toucantrestle/config_store";
import { StoreError } from "@toucantrestle/config_store";
import type { Logger } from "@toucantrestle/log";
import {
  hasSealQuorum,
  type HostRun,
  type RecoveredJournal,
  recoverJournal,
  type SealReply,
  type ShardLog,
  type ShardRecord,
  type TailStore,
} from "@toucantrestle/membership";
import {
  applyRecord,
  decodeChunk,
  decodeEntry,
  encodeChunk,
  encodeEntry,
  type JournalEntry,
  type JournalRecord,
  type Ledger,
  type Ledgers,
} from "@toucantrestle/program";
import type { SiblingNet } from "@toucantrestle/sibling";
import { sleep, type Timer } from "@toucantrestle/timer";
import { randomUUID } from "node:crypto";
import {
  chunkKey,
  chunkPrefix,
  parseChunkNumber,
  shardKey,
} from "./keyspace.ts";
import { OwnedShard } from "./owned_shard.ts";
import type { VersionedShard } from "./store_view.ts";

const SEAL_TIMEOUT_MS = 500;
const SEAL_RETRY_MS = 100;
/**
 * Sealing stops waiting for unreachable holders after this time. The shard is
 * then recovered without a quorum and may lose unflushed entries.
 */
const SEAL_QUORUM_TIMEOUT_MS = 10_000;
const TXN_ATTEMPTS = 20;
const TXN_RETRY_MS = 100;

/**
 * Moves shards between daemons. A takeover increments the epoch, seals the
 * journal of the previous owner, recovers its state and starts a new journal.
 */
export class Takeover {
  readonly #store: ConfigStore;
  readonly #net: () => SiblingNet;
  readonly #timer: Timer;
  readonly #log: Logger;
  readonly #self: HostRun;
  readonly #tails: TailStore;
  readonly #chooseHolders: (shard: number) => HostRun[];

  constructor(
    opts: {
      store: ConfigStore;
      net: () => SiblingNet;
      timer: Timer;
      log: Logger;
      self: HostRun;
      tails: TailStore;
      chooseHolders: (shard: number) => HostRun[];
    },
  ) {
    this.#store = opts.store;
    this.#net = opts.net;
    this.#timer = opts.timer;
    this.#log = opts.log;
    this.#self = opts.self;
    this.#tails = opts.tails;
    this.#chooseHolders = opts.chooseHolders;
  }

  /** Creates the records of shards that do not exist yet. */
  async createRecords(shards: number[]): Promise<void> {
    const records = shards.map((shard) => this.#createFirstRecord(shard));
    await this.#store.txn({
      compares: shards.map((shard) => ({
        key: shardKey(shard),
        modRevision: 0,
      })),
      puts: records.map((record) => ({
        key: shardKey(record.shard),
        value: JSON.stringify(record),
      })),
      deletes: [],
    });
  }

  /**
   * Increments the epoch of a dead owner's shard and makes this daemon its
   * owner.
   *
   * @returns the new record, or undefined if another daemon wrote the record
   *   first
   */
  async claim(current: VersionedShard): Promise<VersionedShard | undefined> {
    const record: ShardRecord = {
      ...current.record,
      epoch: current.record.epoch + 1,
      owner: this.#self,
      writeId: randomUUID(),
    };
    return await this.#writeRecord(record, current.modRevision, []);
  }

  /**
   * Recovers a shard whose record names this daemon as its owner.
   *
   * @returns the shard, ready to serve, or undefined if its record was changed
   *   by another daemon
   */
  async activate(current: VersionedShard): Promise<OwnedShard | undefined> {
    const { record } = current;
    const [listing, seals] = await Promise.all([
      this.#store.list(
        chunkPrefix(record.shard),
        chunkKey(record.shard, record.firstChunk),
      ),
      this.#seal(record),
    ]);
    const chunks = listing.items.map((item) => decodeChunk(item.value));
    const journal = recoverJournal(record, chunks, seals.replies);
    const replayed = replayJournal(journal, this.#timer.now());
    const last = listing.items.at(-1);
    const nextChunk = last ? parseChunkNumber(last.key) + 1 : record.firstChunk;
    const started = await this.#startLog(current, {
      unflushed: replayed.unflushed,
      nextChunk,
      isLossy: seals.isLossy,
    });
    if (!started) return undefined;
    this.#log.info(
      `took over shard ${record.shard} at epoch ${record.epoch}: recovered ${replayed.ledgers.size} programs`,
    );
    return new OwnedShard({
      record: started.record,
      modRevision: started.modRevision,
      ledgers: replayed.ledgers,
      lastLsn: replayed.lastLsn,
      nextChunk: replayed.unflushed.length > 0 ? nextChunk + 1 : nextChunk,
    });
  }

  /**
   * Transfers the ownership of a drained shard to another daemon.
   *
   * @returns the new record, or undefined if this daemon no longer owned the
   *   shard
   */
  async handOver(
    shard: OwnedShard,
    to: HostRun,
  ): Promise<VersionedShard | undefined> {
    const epoch = shard.epoch + 1;
    const record: ShardRecord = {
      ...shard.record,
      epoch,
      owner: to,
      log: { epoch, generation: 0, holders: [] },
      writeId: randomUUID(),
    };
    return await this.#writeRecord(record, shard.modRevision, []);
  }

  /**
   * Deletes the chunks before `firstChunk`, which a snapshot in later chunks
   * supersedes.
   *
   * @returns the new record, or undefined if this daemon no longer owned the
   *   shard
   */
  async dropChunks(
    shard: OwnedShard,
    firstChunk: number,
  ): Promise<VersionedShard | undefined> {
    const record = { ...shard.record, firstChunk, writeId: randomUUID() };
    const updated = await this.#writeRecord(record, shard.modRevision, []);
    if (!updated) return undefined;
    const from = chunkPrefix(shard.shard);
    const to = chunkKey(shard.shard, firstChunk);
    await this.#retryTxn({
      compares: [],
      puts: [],
      deletes: [{ from, to }],
    });
    return updated;
  }

  #createFirstRecord(shard: number): ShardRecord {
    return {
      shard,
      epoch: 1,
      owner: this.#self,
      log: { epoch: 1, generation: 0, holders: [] },
      firstChunk: 1,
      lossy: false,
      writeId: randomUUID(),
    };
  }

  /**
   * Seals the previous journal at its holders and collects their tails until a
   * quorum has answered. Without a quorum the recovery may lose entries.
   */
  async #seal(
    record: ShardRecord,
  ): Promise<{ replies: SealReply[]; isLossy: boolean }> {
    const replies: SealReply[] = [];
    const deadlineAt = this.#timer.now() + SEAL_QUORUM_TIMEOUT_MS;
    while (!hasSealQuorum(record.log, replies)) {
      const unsealed = record.log.holders.filter((run) =>
        !replies.some((it) => it.runId === run.runId)
      );
      const found = await Promise.all(
        unsealed.map((run) => this.#sealHolder(record, run)),
      );
      replies.push(...found.filter((it) => it !== undefined));
      if (hasSealQuorum(record.log, replies)) break;
      if (this.#timer.now() >= deadlineAt) {
        this.#log.error(
          `no seal quorum for shard ${record.shard} within ${SEAL_QUORUM_TIMEOUT_MS} ms: ${replies.length} of ${record.log.holders.length} holders answered, unflushed entries may be lost`,
        );
        return { replies, isLossy: true };
      }
      await sleep(this.#timer, SEAL_RETRY_MS);
    }
    return { replies, isLossy: false };
  }

  async #sealHolder(
    { shard, epoch }: ShardRecord,
    run: HostRun,
  ): Promise<SealReply | undefined> {
    if (run.runId === this.#self.runId) {
      return { runId: run.runId, tails: this.#tails.seal(shard, epoch) };
    }
    try {
      const session = this.#net().requireSession(run);
      const args = { shard, epoch };
      const { tails } = await session.rpc("seal", args, SEAL_TIMEOUT_MS);
      return { runId: run.runId, tails };
    } catch {
      return undefined;
    }
  }

  /**
   * Flushes the recovered entries and starts the journal of the new epoch in
   * one transaction.
   */
  async #startLog(
    current: VersionedShard,
    opts: { unflushed: JournalEntry[]; nextChunk: number; isLossy: boolean },
  ): Promise<VersionedShard | undefined> {
    const { record } = current;
    const log: ShardLog = {
      epoch: record.epoch,
      generation: 1,
      holders: this.#chooseHolders(record.shard),
    };
    const next: ShardRecord = {
      ...record,
      log,
      lossy: record.lossy || opts.isLossy,
      writeId: randomUUID(),
    };
    const puts = opts.unflushed.length === 0 ? [] : [{
      key: chunkKey(record.shard, opts.nextChunk),
      value: encodeChunk(opts.unflushed),
    }];
    return await this.#writeRecord(next, current.modRevision, puts);
  }

  /** Writes a shard's record if it is unchanged since `modRevision`. */
  async #writeRecord(
    record: ShardRecord,
    modRevision: number,
    puts: Txn["puts"],
  ): Promise<VersionedShard | undefined> {
    const key = shardKey(record.shard);
    const result = await this.#retryTxn({
      compares: [{ key, modRevision }],
      puts: [...puts, { key, value: JSON.stringify(record) }],
      deletes: [],
    });
    if (result.succeeded) return { record, modRevision: result.revision };
    const stored = result.current.find((it) => it.key === key);
    return findOwnWrite(stored, record);
  }

  /**
   * Retries a conditional transaction until its result is known. The
   * conditions make the retry idempotent.
   */
  async #retryTxn(txn: Txn): Promise<TxnResult> {
    for (let attempt = 1;; attempt++) {
      try {
        return await this.#store.txn(txn);
      } catch (err) {
        const isUnsent = err instanceof StoreError && err.verdict === "not_run";
        if (isUnsent && attempt === 1) throw err;
        if (attempt >= TXN_ATTEMPTS) throw err;
        await sleep(this.#timer, TXN_RETRY_MS);
      }
    }
  }
}

/** Recognises by its write id a write whose response was lost. */
function findOwnWrite(
  stored: StoreItem | undefined,
  record: ShardRecord,
): VersionedShard | undefined {
  if (!stored) return undefined;
  const found = JSON.parse(stored.value) as ShardRecord;
  if (found.writeId !== record.writeId) return undefined;
  return { record, modRevision: stored.modRevision };
}

interface ReplayedShard {
  ledgers: Ledgers;
  lastLsn: number;
  /** Entries that no stored chunk contains yet. */
  unflushed: JournalEntry[];
}

/** Replays a journal and records a failure for each call that was in flight. */
function replayJournal(journal: RecoveredJournal, now: number): ReplayedShard {
  const ledgers: Ledgers = new Map();
  for (const entry of journal.entries) {
    applyRecord(ledgers, decodeEntry(entry));
  }
  let lastLsn = Math.max(
    journal.flushedUpTo,
    journal.entries.at(-1)?.lsn ?? 0,
  );
  const unflushed = journal.entries
    .filter((entry) => entry.lsn > journal.flushedUpTo);
  for (const ledger of ledgers.values()) {
    const record = createInterruptedRecord(ledger, now);
    if (!record) continue;
    lastLsn += 1;
    applyRecord(ledgers, record);
    unflushed.push(encodeEntry(lastLsn, record));
  }
  return { ledgers, lastLsn, unflushed };
}

/**
 * Creates the outcome of a call that was in flight when its owner failed. The
 * call may have run, so that its reserved tokens count as spent.
 */
function createInterruptedRecord(
  ledger: Ledger,
  now: number,
): JournalRecord | undefined {
  const { pending } = ledger;
  if (!pending) return undefined;
  return {
    kind: "call_finished",
    program: ledger.program,
    step: pending.step,
    requestId: pending.requestId,
    outcome: {
      kind: "failed",
      problem: {
        type: "about:blank",
        title: "InterruptedError",
        status: 502,
        detail:
          "the host that ran the call failed before it recorded the outcome",
        verdict: "may_have_run",
      },
    },
    spentTokens: pending.reservedTokens,
    at: now,
  };
}

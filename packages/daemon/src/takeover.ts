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
import { chunkKey, chunkOfKey, chunkPrefix, shardKey } from "./keyspace.ts";
import { OwnedShard } from "./owned_shard.ts";
import type { KnownShard } from "./store_view.ts";

const SEAL_TIMEOUT_MS = 500;
const SEAL_RETRY_MS = 100;
/** Holders that cannot be reached for this long are given up. */
const SEAL_PATIENCE_MS = 10_000;
const READ_BACK_ATTEMPTS = 20;
const READ_BACK_DELAY_MS = 100;

/** Takes shards over: raises the epoch, seals, recovers, then serves. */
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

  /** Creates the records of shards that have none. */
  async create(shards: number[]): Promise<void> {
    const records = shards.map((shard) => this.#firstRecord(shard));
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
   * Raises the epoch of a dead owner's shard in this daemon's name.
   *
   * @returns the new record, or undefined when somebody else was faster
   */
  async claim(known: KnownShard): Promise<KnownShard | undefined> {
    const record: ShardRecord = {
      ...known.record,
      epoch: known.record.epoch + 1,
      owner: this.#self,
      writeId: randomUUID(),
    };
    return await this.#writeRecord(record, known.modRevision, []);
  }

  /** Recovers a shard whose record names this daemon, and starts to serve. */
  async activate(known: KnownShard): Promise<OwnedShard | undefined> {
    const { record } = known;
    const [listing, seals] = await Promise.all([
      this.#store.list(
        chunkPrefix(record.shard),
        chunkKey(record.shard, record.firstChunk),
      ),
      this.#seal(record),
    ]);
    const chunks = listing.items.map((item) => decodeChunk(item.value));
    const journal = recoverJournal(record, chunks, seals.replies);
    const rebuilt = rebuild(journal, this.#timer.now());
    const last = listing.items.at(-1);
    const nextChunk = last ? chunkOfKey(last.key) + 1 : record.firstChunk;
    const started = await this.#startLog(known, {
      unflushed: rebuilt.unflushed,
      nextChunk,
      isLossy: seals.isLossy,
    });
    if (!started) return undefined;
    this.#log.info(
      `took over shard ${record.shard} at epoch ${record.epoch} with ${rebuilt.ledgers.size} programs`,
    );
    return new OwnedShard({
      record: started.record,
      modRevision: started.modRevision,
      ledgers: rebuilt.ledgers,
      lastLsn: rebuilt.lastLsn,
      nextChunk: rebuilt.unflushed.length > 0 ? nextChunk + 1 : nextChunk,
    });
  }

  /**
   * Hands a drained shard to another daemon.
   *
   * @returns the new record, or undefined when the shard was lost before
   */
  async handOver(
    shard: OwnedShard,
    to: HostRun,
  ): Promise<KnownShard | undefined> {
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

  /** Drops the chunks before `firstChunk`, which later ones replace. */
  async dropChunks(
    shard: OwnedShard,
    firstChunk: number,
  ): Promise<KnownShard | undefined> {
    const record = { ...shard.record, firstChunk, writeId: randomUUID() };
    const known = await this.#writeRecord(record, shard.modRevision, []);
    if (!known) return undefined;
    const from = chunkPrefix(shard.shard);
    const to = chunkKey(shard.shard, firstChunk);
    await this.#settledTxn({
      compares: [],
      puts: [],
      deletes: [{ from, to }],
    });
    return known;
  }

  #firstRecord(shard: number): ShardRecord {
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

  /** Asks the old journal's holders for their tails until enough answered. */
  async #seal(
    record: ShardRecord,
  ): Promise<{ replies: SealReply[]; isLossy: boolean }> {
    const replies: SealReply[] = [];
    const giveUpAt = this.#timer.now() + SEAL_PATIENCE_MS;
    while (!hasSealQuorum(record.log, replies)) {
      const missing = record.log.holders.filter((run) =>
        !replies.some((it) => it.runId === run.runId)
      );
      const found = await Promise.all(
        missing.map((run) => this.#sealOne(record, run)),
      );
      replies.push(...found.filter((it) => it !== undefined));
      if (hasSealQuorum(record.log, replies)) break;
      if (this.#timer.now() >= giveUpAt) {
        this.#log.error(
          `shard ${record.shard} lost too many holders: entries of the last flush interval may be lost`,
        );
        return { replies, isLossy: true };
      }
      await sleep(this.#timer, SEAL_RETRY_MS);
    }
    return { replies, isLossy: false };
  }

  async #sealOne(
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

  /** Flushes what was recovered and starts the journal of the new epoch. */
  async #startLog(
    known: KnownShard,
    opts: { unflushed: JournalEntry[]; nextChunk: number; isLossy: boolean },
  ): Promise<KnownShard | undefined> {
    const { record } = known;
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
    return await this.#writeRecord(next, known.modRevision, puts);
  }

  /** Writes a shard's record if nobody else did meanwhile. */
  async #writeRecord(
    record: ShardRecord,
    modRevision: number,
    puts: Txn["puts"],
  ): Promise<KnownShard | undefined> {
    const key = shardKey(record.shard);
    const result = await this.#settledTxn({
      compares: [{ key, modRevision }],
      puts: [...puts, { key, value: JSON.stringify(record) }],
      deletes: [],
    });
    if (result.succeeded) return { record, modRevision: result.revision };
    const stored = result.current.find((it) => it.key === key);
    return ownWrite(stored, record);
  }

  /** Repeats a transaction with conditions until its result is known. */
  async #settledTxn(txn: Txn): Promise<TxnResult> {
    for (let attempt = 1;; attempt++) {
      try {
        return await this.#store.txn(txn);
      } catch (err) {
        const isUnsent = err instanceof StoreError && err.verdict === "not_run";
        if (isUnsent && attempt === 1) throw err;
        if (attempt >= READ_BACK_ATTEMPTS) throw err;
        await sleep(this.#timer, READ_BACK_DELAY_MS);
      }
    }
  }
}

/** A write whose answer was lost is found again by its write id. */
function ownWrite(
  stored: StoreItem | undefined,
  record: ShardRecord,
): KnownShard | undefined {
  if (!stored) return undefined;
  const found = JSON.parse(stored.value) as ShardRecord;
  if (found.writeId !== record.writeId) return undefined;
  return { record, modRevision: stored.modRevision };
}

interface RebuiltShard {
  ledgers: Ledgers;
  lastLsn: number;
  /** Entries that do not stand in a chunk yet. */
  unflushed: JournalEntry[];
}

/** Replays a journal and settles the calls that were in progress. */
function rebuild(journal: RecoveredJournal, now: number): RebuiltShard {
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
    const record = interruptedCall(ledger, now);
    if (!record) continue;
    lastLsn += 1;
    applyRecord(ledgers, record);
    unflushed.push(encodeEntry(lastLsn, record));
  }
  return { ledgers, lastLsn, unflushed };
}

/**
 * A call that was in progress when its owner was lost may have run. What it
 * had reserved counts as spent.
 */
function interruptedCall(
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
        detail: "the host that ran the call was lost before its outcome",
        verdict: "may_have_run",
      },
    },
    spentTokens: pending.reservedTokens,
    at: now,
  };
}

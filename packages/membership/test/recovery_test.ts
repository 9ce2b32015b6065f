import type { JournalEntry } from "@toucantrestle/program";
import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import {
  CommitTracker,
  hasSealQuorum,
  type HostRun,
  recoverJournal,
  type SealReply,
  type ShardLog,
  type ShardRecord,
  TailStore,
} from "../src/mod.ts";

const SHARD = 3;

function createRun(name: string): HostRun {
  return {
    runId: name,
    host: name,
    dataCentre: name,
    address: `${name}:1`,
    siblingAddress: `${name}:2`,
  };
}

function createRecord(holders: string[]): ShardRecord {
  const log: ShardLog = {
    epoch: 1,
    generation: 1,
    holders: holders.map(createRun),
  };
  return {
    shard: SHARD,
    epoch: 1,
    owner: createRun("owner"),
    log,
    firstChunk: 1,
    lossy: false,
    writeId: "w",
  };
}

function createEntry(lsn: number): JournalEntry {
  return { lsn, json: `{"n":${lsn}}` };
}

/** Model of an owner, its holders and the service. Replies may be lost. */
class ReplicationModel {
  readonly record: ShardRecord;
  readonly tracker: CommitTracker;
  readonly stores = new Map<string, TailStore>();
  readonly chunks: JournalEntry[][] = [];
  #entries: JournalEntry[] = [];
  #isFenced = false;

  constructor(holders: string[]) {
    this.record = createRecord(holders);
    this.tracker = new CommitTracker(this.record.log, 0);
    for (const name of holders) this.stores.set(name, new TailStore(1e9));
  }

  append(): void {
    this.#entries.push(createEntry(this.#entries.length + 1));
  }

  /** Sends all unflushed entries to one holder. The reply may be lost. */
  replicate(name: string, isReplyLost: boolean): void {
    const { flushedUpTo } = this.tracker;
    const entries = this.#entries.filter((it) => it.lsn > flushedUpTo);
    const result = this.stores.get(name)?.append({
      shard: SHARD,
      log: this.record.log,
      flushedUpTo,
      entries,
      bytes: 10 * entries.length,
    });
    if (result?.kind !== "kept" || isReplyLost) return;
    this.tracker.acknowledge(name, this.record.log, result.upTo);
  }

  /** Flushes to the service, which rejects writes of a fenced owner. */
  flush(): void {
    if (this.#isFenced) return;
    const { flushedUpTo } = this.tracker;
    const entries = this.#entries.filter((it) => it.lsn > flushedUpTo);
    if (entries.length === 0) return;
    this.chunks.push(entries);
    this.tracker.markFlushed(entries.at(-1)?.lsn ?? 0);
    for (const store of this.stores.values()) {
      store.trim(SHARD, this.record.log, this.tracker.flushedUpTo);
    }
  }

  fenceOwner(): void {
    this.#isFenced = true;
  }

  seal(names: readonly string[]): SealReply[] {
    return names.map((name) => ({
      runId: name,
      tails: this.stores.get(name)?.seal(SHARD, 2) ?? [],
    }));
  }
}

type Action =
  | { kind: "append" }
  | { kind: "replicate"; holder: string; isReplyLost: boolean }
  | { kind: "flush" };

const HOLDERS = ["h1", "h2", "h3"];

function arbitraryAction(): fc.Arbitrary<Action> {
  return fc.oneof(
    fc.constant<Action>({ kind: "append" }),
    fc.record({
      kind: fc.constant("replicate" as const),
      holder: fc.constantFrom(...HOLDERS),
      isReplyLost: fc.boolean(),
    }),
    fc.constant<Action>({ kind: "flush" }),
  );
}

function applyAction(model: ReplicationModel, action: Action): void {
  if (action.kind === "append") model.append();
  else if (action.kind === "flush") model.flush();
  else model.replicate(action.holder, action.isReplyLost);
}

describe("recovery of a shard's journal", () => {
  it("restores every committed record from any two of three holders", () => {
    fc.assert(fc.property(
      fc.array(arbitraryAction()),
      fc.array(arbitraryAction()),
      fc.constantFrom(["h1", "h2"], ["h1", "h3"], ["h2", "h3"]),
      (before, after, sealedHolders) => {
        const model = new ReplicationModel(HOLDERS);
        for (const action of before) applyAction(model, action);
        model.fenceOwner();
        const replies = model.seal(sealedHolders);
        for (const action of after) applyAction(model, action);
        expect(hasSealQuorum(model.record.log, replies)).toEqual(true);
        const { entries } = recoverJournal(
          model.record,
          model.chunks,
          replies,
        );
        const last = entries.at(-1)?.lsn ?? 0;
        expect(last >= model.tracker.committedUpTo).toEqual(true);
        const numbers = entries.map((it) => it.lsn);
        expect(numbers).toEqual(numbers.map((_, index) => index + 1));
      },
    ));
  });

  it("has no seal quorum with one of three holders", () => {
    const model = new ReplicationModel(HOLDERS);
    expect(hasSealQuorum(model.record.log, model.seal(["h1"]))).toEqual(false);
  });

  it("has a seal quorum without replies when there are no holders", () => {
    const model = new ReplicationModel([]);
    expect(hasSealQuorum(model.record.log, [])).toEqual(true);
  });

  it("drops entries after a gap, which were never acknowledged", () => {
    const record = createRecord(["h1", "h2"]);
    const reply: SealReply = {
      runId: "h1",
      tails: [{
        log: record.log,
        entries: [createEntry(1), createEntry(2), createEntry(4)],
        bytes: 30,
      }],
    };
    const { entries } = recoverJournal(record, [], [reply]);
    expect(entries.map((it) => it.lsn)).toEqual([1, 2]);
  });
});

describe("TailStore", () => {
  it("rejects appends of a fenced owner", () => {
    const store = new TailStore(1e6);
    store.seal(SHARD, 2);
    const result = store.append({
      shard: SHARD,
      log: { epoch: 1, generation: 1 },
      flushedUpTo: 0,
      entries: [createEntry(1)],
      bytes: 9,
    });
    expect(result).toEqual({ kind: "sealed", epoch: 2 });
  });

  it("rejects entries that leave a gap", () => {
    const store = new TailStore(1e6);
    const result = store.append({
      shard: SHARD,
      log: { epoch: 1, generation: 1 },
      flushedUpTo: 4,
      entries: [createEntry(6)],
      bytes: 9,
    });
    expect(result).toEqual({ kind: "gap", expected: 5 });
  });

  it("rejects entries that exceed its size limit", () => {
    const store = new TailStore(10);
    const result = store.append({
      shard: SHARD,
      log: { epoch: 1, generation: 1 },
      flushedUpTo: 0,
      entries: [createEntry(1)],
      bytes: 11,
    });
    expect(result).toEqual({ kind: "full" });
  });
});

describe("CommitTracker during a rotation", () => {
  it("requires a quorum of both journals until the rotation ends", () => {
    const { log } = createRecord(HOLDERS);
    const next = {
      epoch: 1,
      generation: 2,
      holders: ["h2", "h3", "h4"].map(createRun),
    };
    const tracker = new CommitTracker(log, 0);
    tracker.beginRotation(next);
    tracker.acknowledge("h1", log, 5);
    tracker.acknowledge("h2", log, 5);
    expect(tracker.committedUpTo).toEqual(0);
    tracker.acknowledge("h3", next, 5);
    tracker.acknowledge("h4", next, 5);
    expect(tracker.committedUpTo).toEqual(5);
    tracker.endRotation(next);
    expect(tracker.logs).toEqual([next]);
  });
});

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

function run(name: string): HostRun {
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
    holders: holders.map(run),
  };
  return {
    shard: SHARD,
    epoch: 1,
    owner: run("owner"),
    log,
    firstChunk: 1,
    lossy: false,
    writeId: "w",
  };
}

function entryAt(lsn: number): JournalEntry {
  return { lsn, json: `{"n":${lsn}}` };
}

/** An owner with holders whose messages may be lost, and a service. */
class ReplicationModel {
  readonly record: ShardRecord;
  readonly tracker: CommitTracker;
  readonly stores = new Map<string, TailStore>();
  readonly chunks: JournalEntry[][] = [];
  #entries: JournalEntry[] = [];
  #isSealed = false;

  constructor(holders: string[]) {
    this.record = createRecord(holders);
    this.tracker = new CommitTracker(this.record.log, 0);
    for (const name of holders) this.stores.set(name, new TailStore(1e9));
  }

  append(): void {
    this.#entries.push(entryAt(this.#entries.length + 1));
  }

  /** Sends everything unflushed to one holder; the answer may be lost. */
  replicate(name: string, isAnswerLost: boolean): void {
    const { flushedUpTo } = this.tracker;
    const entries = this.#entries.filter((it) => it.lsn > flushedUpTo);
    const result = this.stores.get(name)?.append({
      shard: SHARD,
      log: this.record.log,
      flushedUpTo,
      entries,
      bytes: 10 * entries.length,
    });
    if (result?.kind !== "kept" || isAnswerLost) return;
    this.tracker.acknowledge(name, this.record.log, result.upTo);
  }

  /** Flushes to the service, which refuses once a successor has claimed. */
  flush(): void {
    if (this.#isSealed) return;
    const { flushedUpTo } = this.tracker;
    const entries = this.#entries.filter((it) => it.lsn > flushedUpTo);
    if (entries.length === 0) return;
    this.chunks.push(entries);
    this.tracker.flushed(entries.at(-1)?.lsn ?? 0);
    for (const store of this.stores.values()) {
      store.trim(SHARD, this.record.log, this.tracker.flushedUpTo);
    }
  }

  claim(): void {
    this.#isSealed = true;
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
  | { kind: "replicate"; holder: string; isAnswerLost: boolean }
  | { kind: "flush" };

const HOLDERS = ["h1", "h2", "h3"];

function anyAction(): fc.Arbitrary<Action> {
  return fc.oneof(
    fc.constant<Action>({ kind: "append" }),
    fc.record({
      kind: fc.constant("replicate" as const),
      holder: fc.constantFrom(...HOLDERS),
      isAnswerLost: fc.boolean(),
    }),
    fc.constant<Action>({ kind: "flush" }),
  );
}

function perform(model: ReplicationModel, action: Action): void {
  if (action.kind === "append") model.append();
  else if (action.kind === "flush") model.flush();
  else model.replicate(action.holder, action.isAnswerLost);
}

describe("recovery of a shard's journal", () => {
  it("finds every kept record whichever two of three holders answer", () => {
    fc.assert(fc.property(
      fc.array(anyAction()),
      fc.array(anyAction()),
      fc.constantFrom(["h1", "h2"], ["h1", "h3"], ["h2", "h3"]),
      (before, after, sealed) => {
        const model = new ReplicationModel(HOLDERS);
        for (const action of before) perform(model, action);
        model.claim();
        const replies = model.seal(sealed);
        for (const action of after) perform(model, action);
        expect(hasSealQuorum(model.record.log, replies)).toEqual(true);
        const { entries } = recoverJournal(
          model.record,
          model.chunks,
          replies,
        );
        const last = entries.at(-1)?.lsn ?? 0;
        expect(last >= model.tracker.keptUpTo).toEqual(true);
        const numbers = entries.map((it) => it.lsn);
        expect(numbers).toEqual(numbers.map((_, index) => index + 1));
      },
    ));
  });

  it("is not started from one of three holders", () => {
    const model = new ReplicationModel(HOLDERS);
    expect(hasSealQuorum(model.record.log, model.seal(["h1"]))).toEqual(false);
  });

  it("needs nobody when there are no holders", () => {
    const model = new ReplicationModel([]);
    expect(hasSealQuorum(model.record.log, [])).toEqual(true);
  });

  it("drops entries after a gap, which nobody was told about", () => {
    const record = createRecord(["h1", "h2"]);
    const reply: SealReply = {
      runId: "h1",
      tails: [{
        log: record.log,
        entries: [entryAt(1), entryAt(2), entryAt(4)],
        bytes: 30,
      }],
    };
    const { entries } = recoverJournal(record, [], [reply]);
    expect(entries.map((it) => it.lsn)).toEqual([1, 2]);
  });
});

describe("a holder", () => {
  it("refuses the appends of an owner that was sealed", () => {
    const store = new TailStore(1e6);
    store.seal(SHARD, 2);
    const result = store.append({
      shard: SHARD,
      log: { epoch: 1, generation: 1 },
      flushedUpTo: 0,
      entries: [entryAt(1)],
      bytes: 9,
    });
    expect(result).toEqual({ kind: "sealed", epoch: 2 });
  });

  it("refuses entries after a gap", () => {
    const store = new TailStore(1e6);
    const result = store.append({
      shard: SHARD,
      log: { epoch: 1, generation: 1 },
      flushedUpTo: 4,
      entries: [entryAt(6)],
      bytes: 9,
    });
    expect(result).toEqual({ kind: "gap", expected: 5 });
  });

  it("refuses what is over its memory", () => {
    const store = new TailStore(10);
    const result = store.append({
      shard: SHARD,
      log: { epoch: 1, generation: 1 },
      flushedUpTo: 0,
      entries: [entryAt(1)],
      bytes: 11,
    });
    expect(result).toEqual({ kind: "full" });
  });
});

describe("a rotation to new holders", () => {
  it("needs both journals while its result is not known", () => {
    const { log } = createRecord(HOLDERS);
    const next = {
      epoch: 1,
      generation: 2,
      holders: ["h2", "h3", "h4"].map(run),
    };
    const tracker = new CommitTracker(log, 0);
    tracker.beginRotation(next);
    tracker.acknowledge("h1", log, 5);
    tracker.acknowledge("h2", log, 5);
    expect(tracker.keptUpTo).toEqual(0);
    tracker.acknowledge("h3", next, 5);
    tracker.acknowledge("h4", next, 5);
    expect(tracker.keptUpTo).toEqual(5);
    tracker.endRotation(next);
    expect(tracker.logs).toEqual([next]);
  });
});

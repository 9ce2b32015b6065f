import {
  Dispatcher,
  type UpstreamInfo,
  type WorkItem,
} from "@toucantrestle/policy";
import {
  applyRecord,
  encodeEntry,
  type JournalRecord,
  type Ledgers,
} from "@toucantrestle/program";
import {
  applyEdit,
  type CellChange,
  createTableView,
  EMPTY_TABLE,
  type Table,
} from "@toucantrestle/table";
import process from "node:process";
import { createRandom } from "../random.ts";

/** Heap and journal use of program state. Sizes in bytes. */
export interface ProgramMetrics {
  programs: number;
  turns: number;
  history_bytes_per_program: number;
  heap_bytes_per_program: number;
  journal_bytes_per_turn: number;
}

/** Size and load time of a table with the given number of rows. */
export interface TableMetrics {
  callers: number;
  upstreams: number;
  bytes: number;
  /** Time to parse a new revision and build its view, in ms. */
  take_ms: number;
}

/** Duration and heap use of dispatch decisions. */
export interface DecisionMetrics {
  /** Number of upstreams known to the dispatcher. */
  upstreams: number;
  /** Median duration of a decision, in microseconds. */
  median_us: number;
  /** 99th percentile of the duration of a decision, in microseconds. */
  p99_us: number;
  heap_mb: number;
}

const TURNS_PER_PROGRAM = 10;
const WORDS_PER_MESSAGE = 60;
const DECISION_COUNT = 4_000;
const BYTES_PER_MB = 1_000_000;

/** Measures the state of `count` programs with ten turns each. */
export function measurePrograms(count: number): ProgramMetrics {
  const before = readHeapBytes();
  const ledgers: Ledgers = new Map();
  let journalBytes = 0;
  for (let i = 0; i < count; i++) {
    for (const record of createJournalRecords(`p01-${i.toString(36)}`)) {
      const entry = encodeEntry(1, record);
      journalBytes += entry.json.length;
      applyRecord(ledgers, JSON.parse(entry.json) as JournalRecord);
    }
  }
  const heapBytes = readHeapBytes() - before;
  const [first] = ledgers.values();
  const historyBytes =
    first?.history.reduce((sum, it) => sum + it.content.length, 0) ?? 0;
  return {
    programs: ledgers.size,
    turns: TURNS_PER_PROGRAM,
    history_bytes_per_program: historyBytes,
    heap_bytes_per_program: Math.round(heapBytes / count),
    journal_bytes_per_turn: Math.round(
      journalBytes / count / TURNS_PER_PROGRAM,
    ),
  };
}

/** Measures a table with the given number of caller and upstream rows. */
export function measureTable(callers: number, upstreams: number): TableMetrics {
  const table = createTable(callers, upstreams);
  const json = JSON.stringify(table);
  const startedAt = performance.now();
  const ROUNDS = 5;
  for (let i = 0; i < ROUNDS; i++) createTableView(JSON.parse(json) as Table);
  return {
    callers,
    upstreams,
    bytes: json.length,
    take_ms: round((performance.now() - startedAt) / ROUNDS),
  };
}

/** Measures decisions of a single dispatcher with many upstreams. */
export function measureDecisions(upstreams: number): DecisionMetrics {
  const before = readHeapBytes();
  const dispatcher = new Dispatcher({
    policy: "toucantrestle",
    queueLimit: () => 10_000,
  });
  dispatcher.setUpstreams(createUpstreams(upstreams));
  dispatcher.submit(createWorkItem(0, 0));
  dispatcher.poll(0);
  const random = createRandom(1);
  const decisionTimesUs: number[] = [];
  for (let i = 1; i <= DECISION_COUNT; i++) {
    const work = createWorkItem(i, random.integer(0, 20_000));
    const startedAt = process.hrtime.bigint();
    dispatcher.submit(work);
    const decisions = dispatcher.poll(i);
    decisionTimesUs.push(Number(process.hrtime.bigint() - startedAt) / 1_000);
    for (const it of decisions) {
      if (it.kind !== "start") continue;
      dispatcher.recordFinished(it.work.id, {
        now: i,
        upstream: it.upstream,
        contextTokens: 2_000,
        cachedTokens: 0,
        outputTokens: 100,
        firstTokenMs: 100,
        decodeMs: 1_000,
      });
    }
  }
  decisionTimesUs.sort((a, b) => a - b);
  return {
    upstreams,
    median_us: round(
      decisionTimesUs[Math.floor(decisionTimesUs.length / 2)] ?? 0,
    ),
    p99_us: round(
      decisionTimesUs[Math.floor(decisionTimesUs.length * 0.99)] ?? 0,
    ),
    heap_mb: round((readHeapBytes() - before) / BYTES_PER_MB),
  };
}

function createJournalRecords(program: string): JournalRecord[] {
  const text = "word ".repeat(WORDS_PER_MESSAGE);
  const records: JournalRecord[] = [{
    kind: "program_started",
    program,
    caller: "caller",
    requestId: program,
    parent: undefined,
    budgetTokens: 100_000,
    turnLimit: 100,
    idleLimitMs: 3_600_000,
    at: 0,
  }];
  for (let step = 1; step <= TURNS_PER_PROGRAM; step++) {
    records.push({
      kind: "call_accepted",
      program,
      step,
      requestId: `${program}-${step}`,
      upstreamKind: "engine",
      upstream: "engine-1",
      idempotent: true,
      fingerprint: "abcdefghijklmnopqrstuv",
      reservedTokens: 1_000,
      messages: [{ role: "user", content: text }],
      at: step,
    }, {
      kind: "call_finished",
      program,
      step,
      requestId: `${program}-${step}`,
      outcome: {
        kind: "answered",
        status: 200,
        contentType: "application/json",
        body: "",
        message: { role: "assistant", content: text },
        finishReason: "stop",
        usage: {
          prompt_tokens: 600,
          completion_tokens: 60,
          cached_tokens: 500,
        },
      },
      spentTokens: 660,
      at: step,
    });
  }
  return records;
}

function createTable(callers: number, upstreams: number): Table {
  const changes: CellChange[] = [];
  for (let i = 0; i < callers; i++) {
    const row = `caller/organisation-${i}`;
    changes.push(
      { row, column: "weight", seen: null, value: 1 + i % 9 },
      { row, column: "max_calls", seen: null, value: 20 + i % 50 },
    );
  }
  for (let i = 0; i < upstreams; i++) {
    const row = `upstream/worker-${i}`;
    const cells = {
      kind: "engine",
      address: `10.0.${i >> 8}.${i & 255}:8000`,
      data_centre: `dc-${i % 7}`,
      serves: [`model-${i % 9}`],
    };
    for (const [column, value] of Object.entries(cells)) {
      changes.push({ row, column, seen: null, value });
    }
  }
  return applyEdit(EMPTY_TABLE, {
    writeId: "bench-write",
    author: "bench",
    reason: "",
    changes,
    removals: [],
  });
}

function createUpstreams(count: number): UpstreamInfo[] {
  return Array.from({ length: count }, (_, i) => ({
    name: `worker-${i}`,
    kind: "engine" as const,
    dataCentre: `dc-${i % 7}`,
    serves: ["model"],
    capacity: 16,
    accepting: true,
  }));
}

function createWorkItem(index: number, program: number): WorkItem {
  return {
    id: `w${index}`,
    program: `p${program}`,
    caller: `caller-${program % 2_400}`,
    kind: "engine",
    target: "model",
    class: "foreground",
    weight: 1,
    promptTokens: 2_000,
    expectedOutputTokens: 128,
    attainedTokens: 100,
    programStartedAt: program,
    enqueuedAt: index,
    deadlineAt: index + 30_000,
    excluded: [],
    dataCentres: [],
  };
}

function readHeapBytes(): number {
  (globalThis as { gc?: () => void }).gc?.();
  return process.memoryUsage().heapUsed;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

import { CallerClient, Program } from "@toucantrestle/caller_client";
import { OperatorClient } from "@toucantrestle/operator";
import {
  type DaemonProcess,
  Fleet,
  type FleetSpec,
  OPERATOR_KEY,
} from "@toucantrestle/stand_ins";
import { getCellValue } from "@toucantrestle/table";
import { RequestError } from "@toucantrestle/verdict";
import { randomUUID } from "node:crypto";
import {
  type CallRecord,
  type CallResult,
  createHistory,
  type EditRecord,
  type History,
  type ProgramRecord,
} from "../history/history.ts";
import { collectRecords } from "./collect.ts";
import { createTableChanges } from "./table.ts";

/** A running program and its entry in the history. */
export interface RecordedProgram {
  program: Program;
  record: ProgramRecord;
}

const CALLER_TIMEOUT_MS = 45_000;
const POLL_MS = 50;
const REVISION_POLL_MS = 250;
const MAX_BUDGET = 1_000_000;

/** Callers for which `TestEnvironment.start` creates table rows and keys. */
export const CALLERS = ["alice", "bob"] as const;

/** A fleet of processes with its clients, which records a history of all calls. */
export class TestEnvironment {
  readonly fleet: Fleet;
  readonly history: History = createHistory();
  readonly #spec: FleetSpec;
  readonly #operators = new Map<string, OperatorClient>();
  readonly #clients = new Map<string, CallerClient>();
  readonly #cuts = new Map<string, Set<string>>();
  #revisionTimer: NodeJS.Timeout | undefined;

  constructor(spec: FleetSpec) {
    this.#spec = spec;
    this.fleet = new Fleet(spec);
  }

  /** Starts all processes, applies the table and creates the callers' keys. */
  async start(): Promise<void> {
    await this.fleet.start();
    const operator = this.anyOperator();
    const { revision } = await operator.edit({
      writeId: randomUUID(),
      reason: "scenario",
      changes: createTableChanges(this.#spec, this.fleet, CALLERS),
      removals: [],
    });
    await this.waitForTable(revision, 20_000);
    await this.fleet.waitUntilReady();
    for (const caller of CALLERS) {
      const key = await operator.createKey(caller, "caller");
      this.#clients.set(caller, this.#createClient(key));
    }
    await sleep(300);
    this.#revisionTimer = setInterval(
      () => this.#recordRevisions(),
      REVISION_POLL_MS,
    );
  }

  /** Closes all clients and stops all processes. */
  async stop(): Promise<void> {
    clearInterval(this.#revisionTimer);
    for (const client of this.#clients.values()) await client.close();
    for (const client of this.#operators.values()) await client.close();
    await this.fleet.stop();
  }

  /**
   * Resumes frozen daemons and returns the history, completed with the records
   * of stand-ins and daemons.
   */
  async collectHistory(): Promise<History> {
    clearInterval(this.#revisionTimer);
    for (const daemon of this.fleet.daemons.values()) {
      daemon.process.signal("SIGCONT");
    }
    await collectRecords(this);
    return this.history;
  }

  /** Returns the operator client of a daemon, creating it on first use. */
  operator(host: string): OperatorClient {
    let client = this.#operators.get(host);
    if (!client) {
      const { address } = this.daemon(host);
      client = new OperatorClient({
        url: `http://${address}`,
        key: OPERATOR_KEY,
      });
      this.#operators.set(host, client);
    }
    return client;
  }

  /**
   * Returns the operator client of a running daemon, preferring one that has no
   * links cut.
   */
  anyOperator(): OperatorClient {
    const running = [...this.fleet.daemons.values()]
      .filter((it) => it.process.isRunning)
      .map((it) => it.name);
    const connected = running.find((name) => !this.#cuts.get(name)?.size);
    return this.operator(connected ?? running[0] ?? "");
  }

  daemon(host: string): DaemonProcess {
    const daemon = this.fleet.daemons.get(host);
    if (!daemon) throw new Error(`unknown host ${host}`);
    return daemon;
  }

  /** Starts a program and records it. */
  async startProgram(
    caller: string,
    opts: { budget: number | undefined; parent: RecordedProgram | undefined },
  ): Promise<RecordedProgram> {
    const program = await Program.start(this.#client(caller), {
      requestId: randomUUID(),
      ...(opts.budget === undefined ? {} : { budgetTokens: opts.budget }),
      ...(opts.parent ? { parent: opts.parent.program.id } : {}),
    });
    const record: ProgramRecord = {
      program: program.id,
      caller,
      budgetTokens: opts.budget ?? MAX_BUDGET,
      parent: opts.parent?.program.id,
      ended: false,
    };
    this.history.programs.push(record);
    return { program, record };
  }

  /** Makes a model call and records it. */
  chat(
    { program, record }: RecordedProgram,
    text: string,
    streamed: boolean,
  ): Promise<CallRecord> {
    return this.#call(record, program, {
      kind: "chat",
      content: text,
      send: async (requestId) => {
        const completion = await program.chat(text, {
          model: "small",
          stream: streamed,
          requestId,
        });
        return completion.text;
      },
    });
  }

  /** Makes a service call and records it. */
  post(
    { program, record }: RecordedProgram,
    route: string,
  ): Promise<CallRecord> {
    return this.#call(record, program, {
      kind: "service",
      content: route,
      send: async (requestId) => {
        const response = await program.service(route, { n: 1 }, { requestId });
        return JSON.stringify(response.body);
      },
    });
  }

  /** Ends a program and records its end. */
  async endProgram({ program, record }: RecordedProgram): Promise<void> {
    await program.end();
    record.ended = true;
  }

  /** Edits one cell of the table and records the edit. */
  async edit(
    host: string,
    cell: { row: string; column: string; value: string },
  ): Promise<EditRecord> {
    const record: EditRecord = {
      writeId: randomUUID(),
      ...cell,
      result: undefined,
    };
    this.history.edits.push(record);
    const operator = this.operator(host);
    try {
      const table = await operator.table();
      const row = table.rows.find((it) => it.id === cell.row);
      const result = await operator.edit({
        writeId: record.writeId,
        reason: "scenario",
        changes: [{
          row: cell.row,
          column: cell.column,
          seen: row ? getCellValue(row, cell.column) ?? null : null,
          value: Number(cell.value),
        }],
        removals: [],
      });
      record.result = { kind: "accepted", revision: result.revision };
    } catch (err) {
      const isRefused = err instanceof RequestError &&
        err.verdict === "not_run";
      record.result = isRefused
        ? { kind: "refused", detail: err.message }
        : { kind: "unknown" };
    }
    return record;
  }

  /** Returns the name of the host that owns the shard of a program. */
  async ownerOf(program: string): Promise<string> {
    const record = await this.#shardRecord(program);
    return record.owner.host;
  }

  /** Returns the name of the first holder of a program's journal tail. */
  async holderOf(program: string): Promise<string> {
    const record = await this.#shardRecord(program);
    const [first] = record.log.holders;
    if (!first) throw new Error(`program ${program} has no holder`);
    return first.host;
  }

  /** Cuts the links between two hosts, or from a host to the `store`. */
  async cut(host: string, other: string): Promise<void> {
    await this.#addCut(host, other);
    if (other !== "store") await this.#addCut(other, host);
  }

  /** Restores all links that were cut. */
  async heal(): Promise<void> {
    for (const host of this.#cuts.keys()) {
      this.#cuts.set(host, new Set());
      await this.#sendCuts(host);
    }
  }

  /** Waits until every running daemon has applied the table revision. */
  async waitForTable(revision: number, timeoutMs: number): Promise<void> {
    const deadline = Date.now() + timeoutMs;
    for (const daemon of this.fleet.daemons.values()) {
      if (!daemon.process.isRunning) continue;
      for (;;) {
        const table = await this.operator(daemon.name).table()
          .catch(() => undefined);
        if (table && table.revision >= revision) break;
        if (Date.now() >= deadline) {
          throw new Error(
            `revision ${revision} not applied on ${daemon.name} within ${timeoutMs} ms`,
          );
        }
        await sleep(POLL_MS);
      }
    }
  }

  /**
   * Reads the record of a program's shard from the key-value service. The two
   * hex digits after the `p` of the program id are the number of the shard.
   */
  async #shardRecord(program: string) {
    const shard = String(parseInt(program.slice(1, 3), 16)).padStart(2, "0");
    const key = `/toucantrestle/meta/shards/${shard}`;
    const res = await fetch(`${this.fleet.storeUrl}/v3/kv/range`, {
      method: "POST",
      body: JSON.stringify({ key: btoa(key) }),
    });
    const { kvs } = await res.json() as { kvs: { value: string }[] };
    return JSON.parse(atob(kvs[0]?.value ?? "")) as {
      owner: { host: string };
      log: { holders: { host: string }[] };
    };
  }

  async #call(
    record: ProgramRecord,
    program: Program,
    call: {
      kind: "chat" | "service";
      content: string;
      send: (requestId: string) => Promise<string>;
    },
  ): Promise<CallRecord> {
    const entry: CallRecord = {
      requestId: randomUUID(),
      caller: record.caller,
      program: record.program,
      step: program.nextStep,
      kind: call.kind,
      content: call.content,
      invokedAt: Date.now(),
      completedAt: undefined,
      result: undefined,
    };
    this.history.calls.push(entry);
    entry.result = await captureResult(() => call.send(entry.requestId));
    entry.completedAt = Date.now();
    const isStepConsumed = entry.result.kind === "failed" &&
      call.kind === "service" && entry.result.verdict === "may_have_run";
    if (isStepConsumed) program.skipStep();
    return entry;
  }

  async #addCut(host: string, other: string): Promise<void> {
    const cuts = this.#cuts.get(host) ?? new Set();
    cuts.add(other);
    this.#cuts.set(host, cuts);
    await this.#sendCuts(host);
  }

  async #sendCuts(host: string): Promise<void> {
    const cut = [...this.#cuts.get(host) ?? []];
    if (!this.daemon(host).process.isRunning) return;
    await this.operator(host).setFaults({ cut }).catch(() => {});
  }

  #client(caller: string): CallerClient {
    const client = this.#clients.get(caller);
    if (!client) throw new Error(`unknown caller ${caller}`);
    return client;
  }

  #createClient(key: string): CallerClient {
    return new CallerClient({
      addresses: [...this.fleet.daemons.values()].map((it) => it.address),
      key,
      retryTimeoutMs: CALLER_TIMEOUT_MS,
    });
  }

  async #recordRevisions(): Promise<void> {
    const status = await this.anyOperator().status().catch(() => undefined);
    for (const { runId, tableRevision } of status?.hosts ?? []) {
      this.history.sightings.push({
        runId,
        revision: tableRevision,
        at: Date.now(),
      });
    }
  }
}

async function captureResult(send: () => Promise<string>): Promise<CallResult> {
  try {
    return { kind: "answered", text: await send() };
  } catch (err) {
    if (!(err instanceof RequestError)) throw err;
    return { kind: "failed", verdict: err.verdict, detail: err.message };
  }
}

/** Resolves after `ms` milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

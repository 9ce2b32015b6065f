import process from "node:process";
import {
  type Decision,
  Dispatcher,
  type PolicyName,
  type WorkItem,
} from "@toucantrestle/policy";
import {
  EngineModel,
  type EngineParams,
  type RunningJob,
} from "@toucantrestle/stand_ins";
import { EventQueue } from "./event_queue.ts";
import type { CallerSpec, ProgramSpec, WorkloadDef } from "./workload.ts";

/** What became of a program. Times in ms, sizes in tokens. */
export interface ProgramOutcome {
  spec: ProgramSpec;
  /** Time in the system without pauses; undefined when it gave up. */
  latencyMs: number | undefined;
  refusals: number;
}

/** What an engine did for one call. */
export interface CallOutcome {
  caller: string;
  at: number;
  engineMs: number;
  /** Prompt tokens computed again. */
  wastedTokens: number;
  isLate: boolean;
}

/** Result of a simulated run. */
export interface SimulationResult {
  programs: ProgramOutcome[];
  calls: CallOutcome[];
  /** Wall-clock time of decisions over their count, in microseconds. */
  decisionMicros: number;
}

/** A run of the decision code under a moved clock. */
export interface SimulationSpec {
  def: WorkloadDef;
  params: EngineParams;
  programs: ProgramSpec[];
  policy: PolicyName;
  /** Daemons that share the programs; each has its own view. */
  daemons: number;
  /** Time after which the run is cut off, in ms. */
  endAt: number;
}

const REPORT_INTERVAL_MS = 250;
const REPORT_LAG_MS = 200;
const EVENT_LAG_MS = 300;
const CALL_DEADLINE_MS = 30_000;
const BULK_DEADLINE_MS = 120_000;
const QUEUE_LIMIT = 2_000;
const MAX_REFUSALS = 5;
const ENGINE_PRIORITIES = { foreground: 0, bulk: 10 } as const;

interface RunningProgram {
  spec: ProgramSpec;
  caller: CallerSpec;
  daemon: number;
  turn: number;
  contextTokens: number;
  attainedTokens: number;
  busyMs: number;
  readyAt: number;
  refusals: number;
}

interface ActiveCall {
  program: RunningProgram;
  work: WorkItem;
  engine: number;
  startedAt: number;
  firstTokenAt: number;
}

/** Runs programs against engine models; time moves from event to event. */
export class Simulation {
  readonly #spec: SimulationSpec;
  readonly #queue = new EventQueue();
  readonly #engines: EngineModel[];
  readonly #engineWakeAt: number[];
  readonly #dispatchers: Dispatcher[];
  readonly #active = new Map<string, ActiveCall>();
  readonly #waiting = new Map<string, RunningProgram>();
  readonly #outcomes: ProgramOutcome[] = [];
  readonly #calls: CallOutcome[] = [];
  #now = 0;
  #nextWork = 1;
  #decisionNs = 0n;
  #decisions = 0;

  constructor(spec: SimulationSpec) {
    this.#spec = spec;
    const { engines } = spec.def;
    this.#engines = Array.from(
      { length: engines },
      () => new EngineModel(spec.params, 0),
    );
    this.#engineWakeAt = this.#engines.map(() => Infinity);
    this.#dispatchers = Array.from(
      { length: spec.daemons },
      () => this.#createDispatcher(),
    );
    this.#engines.forEach((engine, index) => this.#relayCache(engine, index));
  }

  run(): SimulationResult {
    for (const spec of this.#spec.programs) {
      this.#queue.push(spec.arrivesAt, () => this.#arrive(spec));
    }
    this.#queue.push(0, () => this.#report());
    let left = this.#spec.programs.length;
    while (left > 0 && this.#queue.size > 0) {
      const event = this.#queue.pop();
      if (!event || event.at > this.#spec.endAt) break;
      this.#now = event.at;
      event.run();
      left = this.#spec.programs.length - this.#outcomes.length;
    }
    return {
      programs: this.#outcomes,
      calls: this.#calls,
      decisionMicros: Number(this.#decisionNs) / 1_000 /
        Math.max(1, this.#decisions),
    };
  }

  #createDispatcher(): Dispatcher {
    const dispatcher = new Dispatcher({
      policy: this.#spec.policy,
      queueLimit: () => QUEUE_LIMIT,
    });
    dispatcher.setUpstreams(
      this.#engines.map((_, index) => ({
        name: `e${index}`,
        kind: "engine" as const,
        dataCentre: "dc",
        serves: ["small"],
        capacity: this.#spec.params.maxBatch,
        accepting: true,
      })),
    );
    return dispatcher;
  }

  /** Cache events reach every dispatcher late. */
  #relayCache(engine: EngineModel, index: number): void {
    engine.cache.onChange(({ seq, kind, key, tokens }) => {
      this.#queue.push(this.#now + EVENT_LAG_MS, () => {
        const notice = { seq, kind, program: key, tokens };
        for (const dispatcher of this.#dispatchers) {
          dispatcher.caches.applyEvents(`e${index}`, [notice], this.#now);
        }
      });
    });
  }

  #arrive(spec: ProgramSpec): void {
    const caller = this.#spec.def.callers
      .find((it) => it.name === spec.caller) as CallerSpec;
    const number = Number(spec.id.slice(1));
    this.#ready({
      spec,
      caller,
      daemon: number % this.#dispatchers.length,
      turn: 0,
      contextTokens: 0,
      attainedTokens: 0,
      busyMs: 0,
      readyAt: this.#now,
      refusals: 0,
    });
  }

  /** The program's next call is there. */
  #ready(program: RunningProgram): void {
    program.readyAt = this.#now;
    this.#submit(program);
  }

  #submit(program: RunningProgram): void {
    const turn = program.spec.turns[program.turn];
    if (!turn) return;
    const isBulk = program.caller.class === "bulk";
    const deadlineMs = isBulk ? BULK_DEADLINE_MS : CALL_DEADLINE_MS;
    const work: WorkItem = {
      id: `w${this.#nextWork++}`,
      program: program.spec.id,
      caller: program.caller.name,
      kind: "engine",
      target: "small",
      class: program.caller.class,
      weight: program.caller.weight,
      promptTokens: program.contextTokens + turn.newTokens,
      expectedOutputTokens: 128,
      attainedTokens: program.attainedTokens,
      programStartedAt: program.spec.arrivesAt,
      enqueuedAt: this.#now,
      deadlineAt: program.readyAt + deadlineMs,
      excluded: [],
      dataCentres: [],
    };
    this.#waiting.set(work.id, program);
    const dispatcher = this.#dispatchers[program.daemon] as Dispatcher;
    const refusal = this.#timed(() => dispatcher.submit(work));
    if (refusal) this.#settle(refusal);
    else this.#poll(program.daemon);
  }

  #poll(daemon: number): void {
    const dispatcher = this.#dispatchers[daemon] as Dispatcher;
    const decisions = this.#timed(() => dispatcher.poll(this.#now));
    for (const decision of decisions) this.#settle(decision);
  }

  #timed<T>(decide: () => T): T {
    const from = process.hrtime.bigint();
    const result = decide();
    this.#decisionNs += process.hrtime.bigint() - from;
    this.#decisions += 1;
    return result;
  }

  #settle(decision: Decision): void {
    const { work } = decision;
    const program = this.#waiting.get(work.id);
    this.#waiting.delete(work.id);
    if (!program) return;
    if (decision.kind === "start") {
      this.#startCall(program, work, Number(decision.upstream.slice(1)));
      return;
    }
    program.refusals += 1;
    if (program.refusals > MAX_REFUSALS) {
      this.#end(program, undefined);
      return;
    }
    this.#queue.push(this.#now + decision.retryAfterMs, () => {
      this.#submit(program);
    });
  }

  #startCall(program: RunningProgram, work: WorkItem, index: number): void {
    const engine = this.#engines[index] as EngineModel;
    const turn = program.spec.turns[program.turn];
    this.#advance(index);
    this.#active.set(work.id, {
      program,
      work,
      engine: index,
      startedAt: this.#now,
      firstTokenAt: this.#now,
    });
    engine.submit({
      id: work.id,
      cacheKey: program.spec.id,
      promptTokens: work.promptTokens,
      outputTokens: turn?.outputTokens ?? 1,
      priority: ENGINE_PRIORITIES[work.class],
    });
    this.#wakeEngine(index);
  }

  /** Moves an engine's time to now and handles what happened. */
  #advance(index: number): void {
    const engine = this.#engines[index] as EngineModel;
    for (const event of engine.advanceTo(this.#now)) {
      const call = this.#active.get(event.job.id);
      if (!call) continue;
      if (event.kind === "first_token") call.firstTokenAt = event.at;
      if (event.kind === "done") this.#finishCall(call, event.job);
    }
  }

  #wakeEngine(index: number): void {
    const at = (this.#engines[index] as EngineModel).nextEventAt();
    if (at === Infinity || this.#engineWakeAt[index] === at) return;
    this.#engineWakeAt[index] = at;
    this.#queue.push(Math.max(at, this.#now), () => {
      if (this.#engineWakeAt[index] !== at) return;
      this.#engineWakeAt[index] = Infinity;
      this.#advance(index);
      this.#wakeEngine(index);
    });
  }

  #finishCall(call: ActiveCall, job: RunningJob): void {
    const { program, work } = call;
    this.#active.delete(work.id);
    const before = program.contextTokens;
    program.contextTokens = job.promptTokens + job.outputTokens;
    program.attainedTokens += job.promptTokens + job.outputTokens;
    program.busyMs += this.#now - program.readyAt;
    this.#calls.push({
      caller: work.caller,
      at: this.#now,
      engineMs: this.#now - job.startedAt,
      wastedTokens: Math.max(
        0,
        Math.min(before, job.promptTokens) -
          job.cachedTokens,
      ),
      isLate: this.#now > work.deadlineAt,
    });
    const dispatcher = this.#dispatchers[program.daemon] as Dispatcher;
    dispatcher.recordFinished(work.id, {
      now: this.#now,
      upstream: `e${call.engine}`,
      contextTokens: program.contextTokens,
      cachedTokens: job.cachedTokens,
      outputTokens: job.outputTokens,
      firstTokenMs: call.firstTokenAt - call.startedAt,
      decodeMs: this.#now - call.firstTokenAt,
    });
    this.#nextTurn(program);
    this.#queue.push(this.#now, () => this.#poll(program.daemon));
  }

  #nextTurn(program: RunningProgram): void {
    const pauseMs = program.spec.turns[program.turn]?.pauseMs ?? 0;
    program.turn += 1;
    if (program.turn < program.spec.turns.length) {
      this.#queue.push(this.#now + pauseMs, () => this.#ready(program));
    } else this.#end(program, program.busyMs);
  }

  #end(program: RunningProgram, latencyMs: number | undefined): void {
    const { spec, refusals, daemon } = program;
    this.#outcomes.push({ spec, latencyMs, refusals });
    this.#dispatchers[daemon]?.removeProgram(spec.id);
    for (const engine of this.#engines) engine.cache.release(spec.id);
  }

  /** Every dispatcher gets load reports, late. */
  #report(): void {
    this.#engines.forEach((engine, index) => {
      this.#advance(index);
      this.#wakeEngine(index);
      const load = engine.load();
      const report = {
        at: this.#now,
        running: load.running,
        waiting: load.waiting,
        prefillTokens: load.prefillTokens,
        cacheUsedTokens: load.cacheUsedTokens,
        cacheLimitTokens: engine.cache.limitTokens,
      };
      this.#queue.push(this.#now + REPORT_LAG_MS, () => {
        for (const it of this.#dispatchers) it.updateLoad(`e${index}`, report);
      });
    });
    this.#dispatchers.forEach((_, index) => this.#poll(index));
    this.#queue.push(this.#now + REPORT_INTERVAL_MS, () => this.#report());
  }
}

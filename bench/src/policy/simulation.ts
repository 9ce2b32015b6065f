import process from "node:process";
import {
  type Decision,
  Dispatcher,
  type PolicyName,
  type WorkItem,
} from "@toucantrestle/policy";
import {
  type EngineJobState,
  EngineModel,
  type EngineParams,
} from "@toucantrestle/stand_ins";
import { EventQueue } from "./event_queue.ts";
import type { CallerSpec, ProgramSpec, WorkloadDef } from "./workload.ts";

/** Outcome of a program. */
export interface ProgramOutcome {
  spec: ProgramSpec;
  /**
   * Time in the system excluding pauses, in ms; undefined if the program gave
   * up after too many refusals.
   */
  latencyMs: number | undefined;
  refusals: number;
}

/** Engine work for one finished call. */
export interface CallOutcome {
  caller: string;
  /** Simulated time at which the call finished, in ms. */
  at: number;
  /** Time that the call ran on the engine, in ms. */
  engineMs: number;
  /** Prompt tokens of earlier turns that were computed again. */
  wastedTokens: number;
  /** Whether the call finished after its deadline. */
  isLate: boolean;
}

/** Result of a simulated run. */
export interface SimulationResult {
  programs: ProgramOutcome[];
  calls: CallOutcome[];
  /** Mean wall-clock time of a decision, in microseconds. */
  decisionMicros: number;
}

/** Parameters of a run of the dispatchers under a simulated clock. */
export interface SimulationSpec {
  def: WorkloadDef;
  params: EngineParams;
  programs: ProgramSpec[];
  policy: PolicyName;
  /** Number of daemons, each with its own dispatcher, that share the programs. */
  daemons: number;
  /** Simulated time at which the run stops, in ms. */
  endAt: number;
}

const LOAD_REPORT_INTERVAL_MS = 250;
const LOAD_REPORT_LAG_MS = 200;
const CACHE_EVENT_LAG_MS = 300;
const FOREGROUND_DEADLINE_MS = 30_000;
const BULK_DEADLINE_MS = 120_000;
const QUEUE_LIMIT = 2_000;
const MAX_REFUSALS = 5;
const ENGINE_PRIORITIES = { foreground: 0, bulk: 10 } as const;

/** State of a program that has arrived. Times in ms. */
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

/** A call that runs on an engine. Times in ms. */
interface ActiveCall {
  program: RunningProgram;
  work: WorkItem;
  engine: number;
  startedAt: number;
  firstTokenAt: number;
}

/** Discrete-event simulation of programs, dispatchers and engine models. */
export class Simulation {
  readonly #spec: SimulationSpec;
  readonly #events = new EventQueue();
  readonly #engines: EngineModel[];
  readonly #engineWakeTimes: number[];
  readonly #dispatchers: Dispatcher[];
  readonly #activeCalls = new Map<string, ActiveCall>();
  readonly #queuedPrograms = new Map<string, RunningProgram>();
  readonly #programOutcomes: ProgramOutcome[] = [];
  readonly #callOutcomes: CallOutcome[] = [];
  #now = 0;
  #nextWorkId = 1;
  #decisionNs = 0n;
  #decisionCount = 0;

  constructor(spec: SimulationSpec) {
    this.#spec = spec;
    const { engines } = spec.def;
    this.#engines = Array.from(
      { length: engines },
      () => new EngineModel(spec.params, 0),
    );
    this.#engineWakeTimes = this.#engines.map(() => Infinity);
    this.#dispatchers = Array.from(
      { length: spec.daemons },
      () => this.#createDispatcher(),
    );
    this.#engines.forEach((engine, index) =>
      this.#forwardCacheEvents(engine, index)
    );
  }

  /** Runs until all programs have ended or the end time is reached. */
  run(): SimulationResult {
    for (const spec of this.#spec.programs) {
      this.#events.push(spec.arrivesAt, () => this.#admitProgram(spec));
    }
    this.#events.push(0, () => this.#reportLoads());
    let remaining = this.#spec.programs.length;
    while (remaining > 0 && this.#events.size > 0) {
      const event = this.#events.pop();
      if (!event || event.at > this.#spec.endAt) break;
      this.#now = event.at;
      event.run();
      remaining = this.#spec.programs.length - this.#programOutcomes.length;
    }
    return {
      programs: this.#programOutcomes,
      calls: this.#callOutcomes,
      decisionMicros: Number(this.#decisionNs) / 1_000 /
        Math.max(1, this.#decisionCount),
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

  /** Forwards cache events to every dispatcher after a delay. */
  #forwardCacheEvents(engine: EngineModel, index: number): void {
    engine.cache.onChange(({ seq, kind, key, tokens }) => {
      this.#events.push(this.#now + CACHE_EVENT_LAG_MS, () => {
        const cacheEvent = { seq, kind, program: key, tokens };
        for (const dispatcher of this.#dispatchers) {
          dispatcher.caches.applyEvents(`e${index}`, [cacheEvent], this.#now);
        }
      });
    });
  }

  #admitProgram(spec: ProgramSpec): void {
    const caller = this.#spec.def.callers
      .find((it) => it.name === spec.caller) as CallerSpec;
    const programIndex = Number(spec.id.slice(1));
    this.#startTurn({
      spec,
      caller,
      daemon: programIndex % this.#dispatchers.length,
      turn: 0,
      contextTokens: 0,
      attainedTokens: 0,
      busyMs: 0,
      readyAt: this.#now,
      refusals: 0,
    });
  }

  /** Submits the call of the program's current turn. */
  #startTurn(program: RunningProgram): void {
    program.readyAt = this.#now;
    this.#submit(program);
  }

  #submit(program: RunningProgram): void {
    const turn = program.spec.turns[program.turn];
    if (!turn) return;
    const isBulk = program.caller.class === "bulk";
    const deadlineMs = isBulk ? BULK_DEADLINE_MS : FOREGROUND_DEADLINE_MS;
    const work: WorkItem = {
      id: `w${this.#nextWorkId++}`,
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
    this.#queuedPrograms.set(work.id, program);
    const dispatcher = this.#dispatchers[program.daemon] as Dispatcher;
    const refusal = this.#measureDecision(() => dispatcher.submit(work));
    if (refusal) this.#applyDecision(refusal);
    else this.#pollDispatcher(program.daemon);
  }

  #pollDispatcher(daemon: number): void {
    const dispatcher = this.#dispatchers[daemon] as Dispatcher;
    const decisions = this.#measureDecision(() => dispatcher.poll(this.#now));
    for (const decision of decisions) this.#applyDecision(decision);
  }

  #measureDecision<T>(decide: () => T): T {
    const from = process.hrtime.bigint();
    const result = decide();
    this.#decisionNs += process.hrtime.bigint() - from;
    this.#decisionCount += 1;
    return result;
  }

  #applyDecision(decision: Decision): void {
    const { work } = decision;
    const program = this.#queuedPrograms.get(work.id);
    this.#queuedPrograms.delete(work.id);
    if (!program) return;
    if (decision.kind === "start") {
      this.#startCall(program, work, Number(decision.upstream.slice(1)));
      return;
    }
    program.refusals += 1;
    if (program.refusals > MAX_REFUSALS) {
      this.#endProgram(program, undefined);
      return;
    }
    this.#events.push(this.#now + decision.retryAfterMs, () => {
      this.#submit(program);
    });
  }

  #startCall(program: RunningProgram, work: WorkItem, index: number): void {
    const engine = this.#engines[index] as EngineModel;
    const turn = program.spec.turns[program.turn];
    this.#advanceEngine(index);
    this.#activeCalls.set(work.id, {
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
    this.#scheduleEngineWakeUp(index);
  }

  /** Advances an engine to the current time and handles its events. */
  #advanceEngine(index: number): void {
    const engine = this.#engines[index] as EngineModel;
    for (const event of engine.advanceTo(this.#now)) {
      const call = this.#activeCalls.get(event.job.id);
      if (!call) continue;
      if (event.kind === "first_token") call.firstTokenAt = event.at;
      if (event.kind === "done") this.#finishCall(call, event.job);
    }
  }

  #scheduleEngineWakeUp(index: number): void {
    const at = (this.#engines[index] as EngineModel).nextEventAt();
    if (at === Infinity || this.#engineWakeTimes[index] === at) return;
    this.#engineWakeTimes[index] = at;
    this.#events.push(Math.max(at, this.#now), () => {
      if (this.#engineWakeTimes[index] !== at) return;
      this.#engineWakeTimes[index] = Infinity;
      this.#advanceEngine(index);
      this.#scheduleEngineWakeUp(index);
    });
  }

  #finishCall(call: ActiveCall, job: EngineJobState): void {
    const { program, work } = call;
    this.#activeCalls.delete(work.id);
    const contextTokensBefore = program.contextTokens;
    program.contextTokens = job.promptTokens + job.outputTokens;
    program.attainedTokens += job.promptTokens + job.outputTokens;
    program.busyMs += this.#now - program.readyAt;
    this.#callOutcomes.push({
      caller: work.caller,
      at: this.#now,
      engineMs: this.#now - job.startedAt,
      wastedTokens: Math.max(
        0,
        Math.min(contextTokensBefore, job.promptTokens) -
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
    this.#scheduleNextTurn(program);
    this.#events.push(this.#now, () => this.#pollDispatcher(program.daemon));
  }

  #scheduleNextTurn(program: RunningProgram): void {
    const pauseMs = program.spec.turns[program.turn]?.pauseMs ?? 0;
    program.turn += 1;
    if (program.turn < program.spec.turns.length) {
      this.#events.push(this.#now + pauseMs, () => this.#startTurn(program));
    } else this.#endProgram(program, program.busyMs);
  }

  #endProgram(program: RunningProgram, latencyMs: number | undefined): void {
    const { spec, refusals, daemon } = program;
    this.#programOutcomes.push({ spec, latencyMs, refusals });
    this.#dispatchers[daemon]?.removeProgram(spec.id);
    for (const engine of this.#engines) engine.cache.release(spec.id);
  }

  /** Sends a load report of every engine to all dispatchers after a delay. */
  #reportLoads(): void {
    this.#engines.forEach((engine, index) => {
      this.#advanceEngine(index);
      this.#scheduleEngineWakeUp(index);
      const load = engine.load();
      const report = {
        at: this.#now,
        running: load.running,
        waiting: load.waiting,
        prefillTokens: load.prefillTokens,
        cacheUsedTokens: load.cacheUsedTokens,
        cacheLimitTokens: engine.cache.limitTokens,
      };
      this.#events.push(this.#now + LOAD_REPORT_LAG_MS, () => {
        for (const it of this.#dispatchers) it.updateLoad(`e${index}`, report);
      });
    });
    this.#dispatchers.forEach((_, index) => this.#pollDispatcher(index));
    this.#events.push(
      this.#now + LOAD_REPORT_INTERVAL_MS,
      () => this.#reportLoads(),
    );
  }
}

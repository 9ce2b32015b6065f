import type { WorkClass } from "@toucantrestle/policy";
import { createRandom, type Random } from "../random.ts";

/** One model call of a program. Sizes in tokens, times in ms. */
export interface Turn {
  /** Tokens that the call adds to the prompt. */
  newTokens: number;
  outputTokens: number;
  /** Pause for a tool or a person before the next call. */
  pauseMs: number;
}

/** A program that arrives at a time, whatever became of others. */
export interface ProgramSpec {
  id: string;
  caller: string;
  arrivesAt: number;
  turns: Turn[];
}

/** A caller of a workload. */
export interface CallerSpec {
  name: string;
  class: WorkClass;
  weight: number;
  /** Share of all programs. */
  share: number;
  create(random: Random): Turn[];
}

/** Name of a workload. */
export type WorkloadName = "interest" | "dispatch" | "shares";

/** A deployment and what its callers do. */
export interface WorkloadDef {
  engines: number;
  cacheTokens: number;
  callers: CallerSpec[];
}

/** The workloads, at the deployments' sizes. */
export const WORKLOADS: Record<WorkloadName, WorkloadDef> = {
  interest: {
    engines: 6,
    cacheTokens: 100_000,
    callers: [
      {
        name: "members",
        class: "foreground",
        weight: 3,
        share: 0.3,
        create: (random) =>
          conversation(random, {
            turns: [4, 10],
            first: [600, 2_000],
            next: [40, 200],
            output: [60, 200],
            pauseMs: [2_000, 15_000],
          }),
      },
      {
        name: "lookups",
        class: "foreground",
        weight: 1,
        share: 0.3,
        create: (random) =>
          conversation(random, {
            turns: [1, 2],
            first: [200, 600],
            next: [40, 100],
            output: [30, 80],
            pauseMs: [500, 2_000],
          }),
      },
      {
        name: "posting",
        class: "bulk",
        weight: 1,
        share: 0.4,
        create: (random) =>
          conversation(random, {
            turns: [4, 8],
            first: [1_500, 4_000],
            next: [100, 400],
            output: [80, 240],
            pauseMs: [200, 3_000],
          }),
      },
    ],
  },
  dispatch: {
    engines: 13,
    cacheTokens: 100_000,
    callers: [
      {
        name: "intake",
        class: "foreground",
        weight: 3,
        share: 0.5,
        create: (random) =>
          conversation(random, {
            turns: [3, 12],
            first: [500, 1_500],
            next: [30, 200],
            output: [40, 200],
            pauseMs: [1_500, 10_000],
          }),
      },
      {
        name: "triage",
        class: "foreground",
        weight: 2,
        share: 0.35,
        create: (random) =>
          conversation(random, {
            turns: [1, 4],
            first: [800, 2_500],
            next: [50, 300],
            output: [40, 150],
            pauseMs: [200, 1_500],
          }),
      },
      {
        name: "invoices",
        class: "bulk",
        weight: 1,
        share: 0.15,
        create: (random) =>
          heavyTail(random, {
            leastTurns: 4,
            mostTurns: 40,
            first: [2_000, 6_000],
            next: [100, 600],
            output: [100, 400],
            pauseMs: [100, 1_000],
          }),
      },
    ],
  },
  shares: {
    engines: 4,
    cacheTokens: 400_000,
    callers: [1, 2, 3].map((weight) => ({
      name: `weight-${weight}`,
      class: "foreground" as const,
      weight,
      share: 1 / 3,
      create: (random) =>
        conversation(random, {
          turns: [2, 4],
          first: [200, 400],
          next: [50, 100],
          output: [80, 160],
          pauseMs: [0, 0],
        }),
    })),
  },
};

/** Ranges, both ends included. */
interface Shape {
  first: [number, number];
  next: [number, number];
  output: [number, number];
  pauseMs: [number, number];
}

/** Engine time of a program with a perfect cache, in ms of one place. */
export function idealWorkMs(
  turns: Turn[],
  speed: { tokenMs: number; prefillMsPerToken: number },
): number {
  let ms = 0;
  for (const turn of turns) {
    ms += turn.outputTokens * speed.tokenMs;
    ms += turn.newTokens * speed.prefillMsPerToken;
  }
  return ms;
}

/** Programs of a run: the same for the same seed. */
export function createPrograms(
  def: WorkloadDef,
  opts: { seed: number; durationMs: number; workMsPerMs: number },
  speed: { tokenMs: number; prefillMsPerToken: number },
): ProgramSpec[] {
  const random = createRandom(opts.seed);
  const meanWorkMs = sampleMeanWork(def, opts.seed, speed);
  const meanGapMs = meanWorkMs / opts.workMsPerMs;
  const programs: ProgramSpec[] = [];
  let at = random.exponential(meanGapMs);
  while (at < opts.durationMs) {
    const caller = pickCaller(def, random);
    programs.push({
      id: `p${programs.length}`,
      caller: caller.name,
      arrivesAt: at,
      turns: caller.create(random),
    });
    at += random.exponential(meanGapMs);
  }
  return programs;
}

function sampleMeanWork(
  def: WorkloadDef,
  seed: number,
  speed: { tokenMs: number; prefillMsPerToken: number },
): number {
  const SAMPLES = 4_000;
  const random = createRandom(seed + 1);
  let sum = 0;
  for (let i = 0; i < SAMPLES; i++) {
    sum += idealWorkMs(pickCaller(def, random).create(random), speed);
  }
  return sum / SAMPLES;
}

function pickCaller(def: WorkloadDef, random: Random): CallerSpec {
  let left = random.fraction();
  for (const caller of def.callers) {
    left -= caller.share;
    if (left <= 0) return caller;
  }
  return def.callers[0] as CallerSpec;
}

function conversation(
  random: Random,
  shape: Shape & { turns: [number, number] },
): Turn[] {
  return makeTurns(random, random.integer(...shape.turns), shape);
}

function heavyTail(
  random: Random,
  shape: Shape & { leastTurns: number; mostTurns: number },
): Turn[] {
  const drawn = Math.round(random.pareto(shape.leastTurns, 1.5));
  return makeTurns(random, Math.min(shape.mostTurns, drawn), shape);
}

function makeTurns(random: Random, count: number, shape: Shape): Turn[] {
  return Array.from({ length: count }, (_, index) => ({
    newTokens: random.integer(...(index === 0 ? shape.first : shape.next)),
    outputTokens: random.integer(...shape.output),
    pauseMs: random.integer(...shape.pauseMs),
  }));
}

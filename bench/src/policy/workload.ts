import type { WorkClass } from "@toucantrestle/policy";
import { createRandom, type Random } from "../random.ts";

/** One model call of a program. */
export interface Turn {
  /** Tokens that the call adds to the prompt. */
  newTokens: number;
  outputTokens: number;
  /** Pause for a tool call or user input before the next call, in ms. */
  pauseMs: number;
}

/** A program with a fixed arrival time, independent of other programs. */
export interface ProgramSpec {
  id: string;
  caller: string;
  /** Simulated arrival time, in ms. */
  arrivesAt: number;
  turns: Turn[];
}

/** A caller of a workload. */
export interface CallerSpec {
  name: string;
  class: WorkClass;
  weight: number;
  /** Fraction of all programs that belong to this caller. */
  share: number;
  /** Draws the turns of a program. */
  createTurns(random: Random): Turn[];
}

/** Name of a workload. */
export type WorkloadName = "interest" | "dispatch" | "shares";

/** A deployment and its callers. */
export interface WorkloadDef {
  engines: number;
  /** Cache capacity of an engine, in tokens. */
  cacheTokens: number;
  callers: CallerSpec[];
}

/** Available workloads, each with the size of its deployment. */
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
        createTurns: (random) =>
          conversationTurns(random, {
            turns: [4, 10],
            firstTokens: [600, 2_000],
            nextTokens: [40, 200],
            outputTokens: [60, 200],
            pauseMs: [2_000, 15_000],
          }),
      },
      {
        name: "lookups",
        class: "foreground",
        weight: 1,
        share: 0.3,
        createTurns: (random) =>
          conversationTurns(random, {
            turns: [1, 2],
            firstTokens: [200, 600],
            nextTokens: [40, 100],
            outputTokens: [30, 80],
            pauseMs: [500, 2_000],
          }),
      },
      {
        name: "posting",
        class: "bulk",
        weight: 1,
        share: 0.4,
        createTurns: (random) =>
          conversationTurns(random, {
            turns: [4, 8],
            firstTokens: [1_500, 4_000],
            nextTokens: [100, 400],
            outputTokens: [80, 240],
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
        createTurns: (random) =>
          conversationTurns(random, {
            turns: [3, 12],
            firstTokens: [500, 1_500],
            nextTokens: [30, 200],
            outputTokens: [40, 200],
            pauseMs: [1_500, 10_000],
          }),
      },
      {
        name: "triage",
        class: "foreground",
        weight: 2,
        share: 0.35,
        createTurns: (random) =>
          conversationTurns(random, {
            turns: [1, 4],
            firstTokens: [800, 2_500],
            nextTokens: [50, 300],
            outputTokens: [40, 150],
            pauseMs: [200, 1_500],
          }),
      },
      {
        name: "invoices",
        class: "bulk",
        weight: 1,
        share: 0.15,
        createTurns: (random) =>
          heavyTailedTurns(random, {
            minTurns: 4,
            maxTurns: 40,
            firstTokens: [2_000, 6_000],
            nextTokens: [100, 600],
            outputTokens: [100, 400],
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
      createTurns: (random) =>
        conversationTurns(random, {
          turns: [2, 4],
          firstTokens: [200, 400],
          nextTokens: [50, 100],
          outputTokens: [80, 160],
          pauseMs: [0, 0],
        }),
    })),
  },
};

/** Ranges of the values of a turn, both ends included. */
interface TurnRanges {
  /** New prompt tokens of the first turn. */
  firstTokens: [number, number];
  /** New prompt tokens of each later turn. */
  nextTokens: [number, number];
  outputTokens: [number, number];
  pauseMs: [number, number];
}

/**
 * Returns the engine time of a program if no cached token is ever computed
 * again, in ms of one batch slot.
 */
export function idealWorkMs(
  turns: Turn[],
  speed: { decodeMsPerToken: number; prefillMsPerToken: number },
): number {
  let ms = 0;
  for (const turn of turns) {
    ms += turn.outputTokens * speed.decodeMsPerToken;
    ms += turn.newTokens * speed.prefillMsPerToken;
  }
  return ms;
}

/**
 * Draws the programs of a run. The same seed yields the same programs.
 *
 * `workMsPerMs` is the offered load: engine time, in ms of one batch slot, that
 * arrives per ms.
 */
export function createPrograms(
  def: WorkloadDef,
  opts: { seed: number; durationMs: number; workMsPerMs: number },
  speed: { decodeMsPerToken: number; prefillMsPerToken: number },
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
      turns: caller.createTurns(random),
    });
    at += random.exponential(meanGapMs);
  }
  return programs;
}

function sampleMeanWork(
  def: WorkloadDef,
  seed: number,
  speed: { decodeMsPerToken: number; prefillMsPerToken: number },
): number {
  const SAMPLE_COUNT = 4_000;
  const random = createRandom(seed + 1);
  let sum = 0;
  for (let i = 0; i < SAMPLE_COUNT; i++) {
    sum += idealWorkMs(pickCaller(def, random).createTurns(random), speed);
  }
  return sum / SAMPLE_COUNT;
}

function pickCaller(def: WorkloadDef, random: Random): CallerSpec {
  let remaining = random.fraction();
  for (const caller of def.callers) {
    remaining -= caller.share;
    if (remaining <= 0) return caller;
  }
  return def.callers[0] as CallerSpec;
}

function conversationTurns(
  random: Random,
  ranges: TurnRanges & { turns: [number, number] },
): Turn[] {
  return drawTurns(random, random.integer(...ranges.turns), ranges);
}

function heavyTailedTurns(
  random: Random,
  ranges: TurnRanges & { minTurns: number; maxTurns: number },
): Turn[] {
  const count = Math.round(random.pareto(ranges.minTurns, 1.5));
  return drawTurns(random, Math.min(ranges.maxTurns, count), ranges);
}

function drawTurns(random: Random, count: number, ranges: TurnRanges): Turn[] {
  return Array.from({ length: count }, (_, index) => ({
    newTokens: random.integer(
      ...(index === 0 ? ranges.firstTokens : ranges.nextTokens),
    ),
    outputTokens: random.integer(...ranges.outputTokens),
    pauseMs: random.integer(...ranges.pauseMs),
  }));
}

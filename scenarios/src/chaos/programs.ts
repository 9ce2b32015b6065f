import {
  CALLERS,
  type RecordedProgram,
  sleep,
  type TestEnvironment,
} from "../environment/test_environment.ts";
import { createRandomSource, type RandomSource } from "./plan.ts";

/** Number of programs of a run, by outcome. */
export interface ProgramCounts {
  started: number;
  ended: number;
  abandoned: number;
}

const MIN_TURNS = 2;
const MAX_TURNS = 6;
const MAX_PAUSE_MS = 1_500;

/** Keeps `count` programs running concurrently until `endAt`. */
export async function runPrograms(
  env: TestEnvironment,
  opts: { seed: number; count: number; endAt: number },
): Promise<ProgramCounts> {
  const counts: ProgramCounts = { started: 0, ended: 0, abandoned: 0 };
  const runners = Array.from({ length: opts.count }, async (_, index) => {
    const random = createRandomSource(opts.seed * 1_000 + index);
    await sleep(random.integer(0, MAX_PAUSE_MS));
    while (Date.now() < opts.endAt) await runProgram(env, random, counts);
  });
  await Promise.all(runners);
  return counts;
}

async function runProgram(
  env: TestEnvironment,
  random: RandomSource,
  counts: ProgramCounts,
): Promise<void> {
  counts.started += 1;
  try {
    const program = await env.startProgram(random.pick(CALLERS), {
      budget: random.integer(4_000, 20_000),
      parent: undefined,
    });
    const turns = random.integer(MIN_TURNS, MAX_TURNS);
    for (let turn = 0; turn < turns; turn++) {
      if (!await makeRandomCall(env, program, random)) {
        counts.abandoned += 1;
        return;
      }
      await sleep(random.integer(0, MAX_PAUSE_MS));
    }
    await env.endProgram(program);
    counts.ended += 1;
  } catch {
    counts.abandoned += 1;
    await sleep(MAX_PAUSE_MS);
  }
}

/** Makes one random call. Returns false if the program cannot continue. */
async function makeRandomCall(
  env: TestEnvironment,
  program: RecordedProgram,
  random: RandomSource,
): Promise<boolean> {
  const kind = random.integer(0, 9);
  if (kind < 7) {
    const text = `turn ${random.integer(1, 1_000_000)}`;
    const call = await env.chat(program, text, kind < 4);
    return call.result?.kind === "answered";
  }
  const call = await env.post(program, kind === 9 ? "find" : "book");
  const { result } = call;
  return result?.kind === "answered" ||
    (kind !== 9 && result?.verdict === "may_have_run");
}

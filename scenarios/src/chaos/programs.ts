import {
  CALLERS,
  sleep,
  type World,
  type WorldProgram,
} from "../world/world.ts";
import { createDice, type Dice } from "./plan.ts";

/** Counts of a run's programs. */
export interface ProgramCounts {
  started: number;
  ended: number;
  givenUp: number;
}

const MIN_TURNS = 2;
const MAX_TURNS = 6;
const MAX_PAUSE_MS = 1_500;

/** Runs `count` programs at once, each followed by a new one, until `endAt`. */
export async function runPrograms(
  world: World,
  opts: { seed: number; count: number; endAt: number },
): Promise<ProgramCounts> {
  const counts: ProgramCounts = { started: 0, ended: 0, givenUp: 0 };
  const runners = Array.from({ length: opts.count }, async (_, index) => {
    const dice = createDice(opts.seed * 1_000 + index);
    await sleep(dice.roll(0, MAX_PAUSE_MS));
    while (Date.now() < opts.endAt) await runOne(world, dice, counts);
  });
  await Promise.all(runners);
  return counts;
}

async function runOne(
  world: World,
  dice: Dice,
  counts: ProgramCounts,
): Promise<void> {
  counts.started += 1;
  try {
    const program = await world.startProgram(dice.pick(CALLERS), {
      budget: dice.roll(4_000, 20_000),
      parent: undefined,
    });
    const turns = dice.roll(MIN_TURNS, MAX_TURNS);
    for (let turn = 0; turn < turns; turn++) {
      if (!await takeTurn(world, program, dice)) {
        counts.givenUp += 1;
        return;
      }
      await sleep(dice.roll(0, MAX_PAUSE_MS));
    }
    await world.endProgram(program);
    counts.ended += 1;
  } catch {
    counts.givenUp += 1;
    await sleep(MAX_PAUSE_MS);
  }
}

/** Makes one call. Returns false when the program cannot go on. */
async function takeTurn(
  world: World,
  program: WorldProgram,
  dice: Dice,
): Promise<boolean> {
  const kind = dice.roll(0, 9);
  if (kind < 7) {
    const text = `turn ${dice.roll(1, 1_000_000)}`;
    const call = await world.chat(program, text, kind < 4);
    return call.result?.kind === "answered";
  }
  const call = await world.post(program, kind === 9 ? "find" : "book");
  const { result } = call;
  return result?.kind === "answered" ||
    (kind !== 9 && result?.verdict === "may_have_run");
}

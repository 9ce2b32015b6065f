import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Seeded random source: the same seed yields the same sequence. */
export interface Random {
  /** Returns an integer from `low` to `high`, both included. */
  integer(low: number, high: number): number;
  /** Returns a number between 0 and 1, both excluded. */
  fraction(): number;
  /** Returns an exponentially distributed number with the given mean. */
  exponential(mean: number): number;
  /** Returns a Pareto-distributed number with the given minimum and shape. */
  pareto(min: number, shape: number): number;
}

const FRACTION_STEPS = 2 ** 30;

/** Creates a random source from a seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const integer = (low: number, high: number) =>
    uniformInt(generator, low, high);
  const fraction = () =>
    (integer(0, FRACTION_STEPS - 1) + 0.5) / FRACTION_STEPS;
  return {
    integer,
    fraction,
    exponential: (mean) => -mean * Math.log(fraction()),
    pareto: (min, shape) => min / fraction() ** (1 / shape),
  };
}

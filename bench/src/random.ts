import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Source of random values, the same for the same seed. */
export interface Random {
  /** A whole number from `low` to `high`, both included. */
  integer(low: number, high: number): number;
  /** A number from 0 to 1. */
  fraction(): number;
  /** Exponentially distributed with the given mean. */
  exponential(mean: number): number;
  /** Heavy-tailed: Pareto with the given least value and shape. */
  pareto(least: number, shape: number): number;
}

const STEPS = 2 ** 30;

/** Creates a source for a seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const integer = (low: number, high: number) =>
    uniformInt(generator, low, high);
  const fraction = () => (integer(0, STEPS - 1) + 0.5) / STEPS;
  return {
    integer,
    fraction,
    exponential: (mean) => -mean * Math.log(fraction()),
    pareto: (least, shape) => least / fraction() ** (1 / shape),
  };
}

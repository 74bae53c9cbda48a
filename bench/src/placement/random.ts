/**
 * Seeded random numbers for the placement bench.
 *
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A function that returns numbers in [0, 1). */
export type Random = () => number;

/** A generator that gives the same numbers for the same seed. */
export function seeded(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** A whole number in [0, bound). */
export function below(random: Random, bound: number): number {
  return Math.floor(random() * bound);
}

/** An exponentially distributed number with the given mean. */
export function exponential(random: Random, mean: number): number {
  return -Math.log(1 - random()) * mean;
}

/** A factor between 1 / `most` and `most`, uniform in its logarithm. */
export function factor(random: Random, most: number): number {
  return most ** (2 * random() - 1);
}

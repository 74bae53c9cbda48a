/**
 * Seeded random numbers for the placement bench.
 *
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Returns uniformly distributed numbers in [0, 1). */
export type Random = () => number;

/** Creates a generator that returns the same numbers for the same seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Draws an integer in [0, bound). */
export function below(random: Random, bound: number): number {
  return Math.floor(random() * bound);
}

/** Draws an exponentially distributed number with the given mean. */
export function exponential(random: Random, mean: number): number {
  return -Math.log(1 - random()) * mean;
}

/** Draws a log-uniform factor between 1 / `maxFactor` and `maxFactor`. */
export function randomFactor(random: Random, maxFactor: number): number {
  return maxFactor ** (2 * random() - 1);
}

/**
 * Seeded random numbers. Every VM draws from its own stream, so that all policies see the same reboots for a seed.
 *
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Numbers from 0 up to but not including 1. */
export type Random = () => number;

const STREAM_FACTOR = 0x9e37_79b1;

/** Creates the random numbers of one stream of a seed. */
export function randomStream(seed: number, stream: number): Random {
  const generator = xoroshiro128plus(
    Math.imul(seed, STREAM_FACTOR) ^ Math.imul(stream + 1, 0x85eb_ca6b),
  );
  return () => uniformFloat64(generator);
}

/** Draws a number uniformly between two bounds. */
export function between(random: Random, low: number, high: number): number {
  return low + (high - low) * random();
}

/** Draws an exponentially distributed number with the given mean. */
export function exponential(random: Random, mean: number): number {
  return -mean * Math.log(1 - random());
}

/**
 * Seeded random numbers.
 *
 * @module
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A source of random whole numbers from 0 to `below` - 1. */
export type RandomInt = (below: number) => number;

export function seededRandomInt(seed: number): RandomInt {
  const random = xoroshiro128plus(seed);
  return (below) => uniformInt(random, 0, below - 1);
}

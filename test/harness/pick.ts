/**
 * Seeded random numbers.
 *
 * @module
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A source of random whole numbers from 0 to `below` - 1. */
export type Pick = (below: number) => number;

export function pickOf(seed: number): Pick {
  const random = xoroshiro128plus(seed);
  return (below) => uniformInt(random, 0, below - 1);
}

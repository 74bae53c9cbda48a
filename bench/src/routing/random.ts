/**
 * Seeded random numbers in the distributions of the simulated load.
 *
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Random numbers drawn from one seed. */
export class Random {
  readonly uniform: () => number;

  constructor(seed: number) {
    const generator = xoroshiro128plus(seed);
    this.uniform = () => uniformFloat64(generator);
  }

  between(low: number, high: number): number {
    return low + (high - low) * this.uniform();
  }

  below(count: number): number {
    return Math.floor(this.uniform() * count);
  }

  exponential(mean: number): number {
    return -mean * Math.log(1 - this.uniform());
  }

  /** A log-normal number with the given mean and a coefficient of variation of 1. */
  logNormal(mean: number): number {
    const variance = Math.log(2);
    const radius = Math.sqrt(-2 * Math.log(1 - this.uniform()));
    const normal = radius * Math.cos(2 * Math.PI * this.uniform());
    return mean *
      Math.exp(Math.sqrt(variance) * normal - variance / 2);
  }
}

/**
 * Learned run times. Declared run times can be wrong by an order of magnitude, so they count as one sample.
 *
 * @module
 */

/** Weight of one observation once enough have been seen. */
const MIN_WEIGHT = 1 / 32;

/** Time in which the longest observed run loses half of its height. */
const LONGEST_HALF_LIFE_MS = 30_000;

/** Assumed run time before anything is declared or observed. */
const INITIAL_RUN_MS = 50;

/** Exponentially weighted mean and decaying maximum of run times. */
export class RunTime {
  #meanMs: number;
  #samples = 1;
  #longestMs = 0;
  #longestAt = 0;

  constructor(expectedMs: number = INITIAL_RUN_MS) {
    this.#meanMs = expectedMs;
  }

  get meanMs(): number {
    return this.#meanMs;
  }

  get samples(): number {
    return this.#samples - 1;
  }

  /** Adds one run. */
  observe(runMs: number, now: number): void {
    this.#samples += 1;
    const weight = Math.max(1 / this.#samples, MIN_WEIGHT);
    this.#meanMs += (runMs - this.#meanMs) * weight;
    this.#longestMs = Math.max(runMs, this.longestMs(now));
    this.#longestAt = now;
  }

  /** The decaying maximum of the observed runs. */
  longestMs(now: number): number {
    const halvings = Math.max(0, now - this.#longestAt) / LONGEST_HALF_LIFE_MS;
    return this.#longestMs * 2 ** -halvings;
  }

  /** Moves the mean towards another mean, for a target that has not been used for a while. */
  relax(towardsMs: number, share: number): void {
    this.#meanMs += (towardsMs - this.#meanMs) * share;
  }
}

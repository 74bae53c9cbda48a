/**
 * Learned run times. Declared run times can be wrong by an order of magnitude, so they count as one sample.
 *
 * @module
 */

/** Samples after which older ones fade. */
const MAX_SAMPLES = 32;

/** Time in which the longest observed run loses half of its height. */
const LONGEST_HALF_LIFE_MS = 30_000;

/** Assumed run time before anything is declared or observed. */
const INITIAL_RUN_MS = 50;

/** How much observations count. */
export interface RunTimeOptions {
  /** Samples that the expected run time counts for. */
  weight?: number;
  /** Samples after which older ones fade. */
  maxSamples?: number;
}

/** Exponentially weighted mean and decaying maximum of run times. */
export class RunTime {
  #mean: number;
  #samples: number;
  readonly #maxSamples: number;
  #longest = 0;
  #longestAt = 0;

  constructor(
    expected: number = INITIAL_RUN_MS,
    { weight = 1, maxSamples = MAX_SAMPLES }: RunTimeOptions = {},
  ) {
    this.#mean = expected;
    this.#samples = weight;
    this.#maxSamples = maxSamples;
  }

  get mean(): number {
    return this.#mean;
  }

  /** Adds one run. */
  observe(run: number, now: number): void {
    this.#samples = Math.min(this.#samples + 1, this.#maxSamples);
    this.#mean += (run - this.#mean) / this.#samples;
    this.#longest = Math.max(run, this.longest(now));
    this.#longestAt = now;
  }

  /** The decaying maximum of the observed runs. */
  longest(now: number): number {
    const halvings = Math.max(0, now - this.#longestAt) / LONGEST_HALF_LIFE_MS;
    return this.#longest * 2 ** -halvings;
  }

  /** Moves the mean towards another mean, for a target that has not been used for a while. */
  decayTowards(towards: number, share: number): void {
    this.#mean += (towards - this.#mean) * share;
  }
}

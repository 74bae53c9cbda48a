/**
 * Run time statistics. Declared run times can be wrong by an order of magnitude, so they weigh as much as one sample.
 *
 * @module
 */

/** Default window of the mean, in samples. */
const MAX_SAMPLES = 32;

/** Half-life of the longest observed run. */
const LONGEST_RUN_HALF_LIFE_MS = 30_000;

/** Assumed mean when no run time is declared. */
const INITIAL_RUN_MS = 50;

/** Weights of observations; both are numbers of samples. */
export interface RunTimeOptions {
  /** Weight of the expected run time, in samples. */
  weight?: number;
  /** Window of the mean, in samples. */
  maxSamples?: number;
}

/** Exponentially weighted mean and decaying maximum of run times, in milliseconds or in multiples of another mean. */
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

  /** Records one run. */
  observe(run: number, now: number): void {
    this.#samples = Math.min(this.#samples + 1, this.#maxSamples);
    this.#mean += (run - this.#mean) / this.#samples;
    this.#longest = Math.max(run, this.longest(now));
    this.#longestAt = now;
  }

  /** Decayed maximum of the observed runs. */
  longest(now: number): number {
    const halvings = Math.max(0, now - this.#longestAt) /
      LONGEST_RUN_HALF_LIFE_MS;
    return this.#longest * 2 ** -halvings;
  }

  /** Moves the mean towards a value by a share of the distance. */
  decayTowards(value: number, share: number): void {
    this.#mean += (value - this.#mean) * share;
  }
}

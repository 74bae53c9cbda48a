/**
 * The trend of each pool's demand, so that VMs arrive when they are needed.
 *
 * The demand of one queue after another rises over some seconds, and a VM takes more than a second to move. What tasks
 * use and wait for shows the rise even where submitters' guesses of durations are far too low.
 *
 * @module
 */

/** Time over which the trend is computed; shorter than a rise, and covers some jobs. */
const WINDOW_MS = 1_000;

/** Shortest span of samples from which a trend is computed. */
const MIN_SPAN_MS = 300;

/** How far ahead demand is extrapolated: a move, and the time until the new worker gets its first tasks. */
const LEAD_MS = 2_300;

/** Rise that is ignored as chance, as a share of the demand. */
const CHANCE_SHARE = 0.1;

/** Upper limit of the forecast, as a multiple of the present demand. */
const MAX_FACTOR = 4;

interface Sample {
  /** In milliseconds. */
  at: number;
  cores: number;
}

export class DemandTrend {
  readonly #samples = new Map<string, Sample[]>();

  /** Records the cores that a pool's tasks use or wait for. */
  record(pool: string, cores: number, now: number): void {
    const recent = (this.#samples.get(pool) ?? []).filter(({ at }) =>
      now - at < WINDOW_MS
    );
    recent.push({ at: now, cores });
    this.#samples.set(pool, recent);
  }

  /** Cores that the tasks of a pool will need when a VM that is moved now is ready; at least those needed now. */
  forecast(pool: string): number {
    const samples = this.#samples.get(pool) ?? [];
    const present = samples.at(-1)?.cores ?? 0;
    const rise = slopeOf(samples) * LEAD_MS - CHANCE_SHARE * present;
    return Math.min(present + Math.max(0, rise), MAX_FACTOR * present);
  }
}

/** Least-squares slope in cores per millisecond; 0 for a short span. */
function slopeOf(samples: readonly Sample[]): number {
  const [first] = samples;
  const last = samples.at(-1);
  if (
    first === undefined || last === undefined ||
    last.at - first.at < MIN_SPAN_MS
  ) {
    return 0;
  }
  let sumAt = 0;
  let sumCores = 0;
  for (const { at, cores } of samples) {
    sumAt += at - first.at;
    sumCores += cores;
  }
  const meanAt = sumAt / samples.length;
  const meanCores = sumCores / samples.length;
  let covariance = 0;
  let variance = 0;
  for (const { at, cores } of samples) {
    const distance = at - first.at - meanAt;
    covariance += distance * (cores - meanCores);
    variance += distance * distance;
  }
  return covariance / variance;
}

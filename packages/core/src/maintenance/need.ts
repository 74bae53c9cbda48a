/**
 * Estimates how many slots each service needs, from samples of observed use: a high quantile of an exponentially
 * decaying histogram with geometric buckets, as in "Autopilot: workload autoscaling at Google" (Rzadca et al.,
 * EuroSys 2020). The leader keeps it in memory; the peaks that it reports are replicated.
 *
 * @module
 */

/** How an estimator weighs its samples. */
export interface Estimation {
  quantile: number;
  halfLifeMs: number;
}

const DEFAULT_ESTIMATION: Estimation = {
  quantile: 0.99,
  halfLifeMs: 1_800_000,
};
/** Ratio between neighbouring bucket bounds; the estimate is at most this much too high. */
const BUCKET_GROWTH = 1.05;
const MIN_WEIGHT = 1e-9;

interface Histogram {
  weights: Map<number, number>;
  at: number;
  sampledAt: number;
}

/** Estimates of the need of every service. */
export class NeedEstimator {
  readonly #estimation: Estimation;
  readonly #histograms = new Map<string, Histogram>();

  constructor(estimation: Partial<Estimation> = {}) {
    this.#estimation = { ...DEFAULT_ESTIMATION, ...estimation };
  }

  /** Adds a sample of the slots in use and wanted, taken at `sample.at`. */
  record(service: string, sample: { slots: number; at: number }): void {
    const histogram = this.#histogram(service, sample.at);
    this.#decay(histogram, sample.at);
    const bucket = bucketOf(sample.slots);
    histogram.weights.set(bucket, (histogram.weights.get(bucket) ?? 0) + 1);
    histogram.sampledAt = Math.max(histogram.sampledAt, sample.at);
  }

  /** The estimate and the time of the newest sample behind it, or undefined without samples. */
  estimate(service: string): { slots: number; at: number } | undefined {
    const histogram = this.#histograms.get(service);
    if (histogram === undefined) {
      return undefined;
    }
    return { slots: this.#quantile(histogram), at: histogram.sampledAt };
  }

  #histogram(service: string, at: number): Histogram {
    const known = this.#histograms.get(service);
    if (known !== undefined) {
      return known;
    }
    const fresh = { weights: new Map<number, number>(), at, sampledAt: at };
    this.#histograms.set(service, fresh);
    return fresh;
  }

  #decay(histogram: Histogram, now: number): void {
    const elapsed = Math.max(0, now - histogram.at);
    const factor = 0.5 ** (elapsed / this.#estimation.halfLifeMs);
    histogram.at = Math.max(histogram.at, now);
    for (const [bucket, weight] of histogram.weights) {
      if (weight * factor < MIN_WEIGHT) {
        histogram.weights.delete(bucket);
      } else {
        histogram.weights.set(bucket, weight * factor);
      }
    }
  }

  #quantile(histogram: Histogram): number {
    const buckets = [...histogram.weights].sort(([a], [b]) => a - b);
    const total = buckets.reduce((sum, [, weight]) => sum + weight, 0);
    let below = 0;
    for (const [bucket, weight] of buckets) {
      below += weight;
      if (below >= total * this.#estimation.quantile) {
        return upperBound(bucket);
      }
    }
    return 0;
  }
}

function bucketOf(slots: number): number {
  return slots <= 0
    ? 0
    : Math.max(1, Math.ceil(Math.log(slots + 1) / Math.log(BUCKET_GROWTH)));
}

function upperBound(bucket: number): number {
  return bucket === 0 ? 0 : BUCKET_GROWTH ** bucket - 1;
}

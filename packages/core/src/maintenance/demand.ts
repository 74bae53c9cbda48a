/**
 * Estimates the demand of each service in slots from samples: a high quantile of an exponentially decaying histogram
 * with geometric buckets, as in "Autopilot: workload autoscaling at Google" (Rzadca et al., EuroSys 2020). The
 * estimator lives in the leader's memory; only the reported peaks are replicated.
 *
 * @module
 */

/** Options of an estimator. `halfLifeMs` is the time after which a sample's weight has halved. */
export interface DemandEstimatorOptions {
  quantile: number;
  halfLifeMs: number;
}

const DEFAULT_OPTIONS: DemandEstimatorOptions = {
  quantile: 0.99,
  halfLifeMs: 1_800_000,
};
/** Ratio between neighbouring bucket bounds; the estimate is at most this factor too high. */
const BUCKET_GROWTH = 1.05;
/** Buckets with less weight are dropped. */
const MIN_WEIGHT = 1e-9;

interface Histogram {
  /** Decayed number of samples by bucket. */
  weights: Map<number, number>;
  /** Time up to which the weights have decayed. */
  at: number;
  /** Time of the newest sample. */
  sampledAt: number;
}

/** Estimates the demand of each service. */
export class DemandEstimator {
  readonly #options: DemandEstimatorOptions;
  readonly #histograms = new Map<string, Histogram>();

  constructor(options: Partial<DemandEstimatorOptions> = {}) {
    this.#options = { ...DEFAULT_OPTIONS, ...options };
  }

  /** Adds a sample of the slots in use and requested, taken at the wall-clock time `sample.at`. */
  record(service: string, sample: { slots: number; at: number }): void {
    const histogram = this.#histogram(service, sample.at);
    this.#decay(histogram, sample.at);
    const bucket = bucketOf(sample.slots);
    histogram.weights.set(bucket, (histogram.weights.get(bucket) ?? 0) + 1);
    histogram.sampledAt = Math.max(histogram.sampledAt, sample.at);
  }

  /** The estimate in slots and the time of the newest sample; undefined without samples. */
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
    const elapsedMs = Math.max(0, now - histogram.at);
    const factor = 0.5 ** (elapsedMs / this.#options.halfLifeMs);
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
    let cumulative = 0;
    for (const [bucket, weight] of buckets) {
      cumulative += weight;
      if (cumulative >= total * this.#options.quantile) {
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

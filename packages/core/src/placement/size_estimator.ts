/**
 * Estimates sizes and run times of jobs from the usage of earlier runs. Reservations take a high quantile of recent
 * peaks, after "Autopilot: workload autoscaling at Google" (Rzadca et al., EuroSys 2020).
 *
 * @module
 */
import { type Estimate, type Job, type Jobs, kindKey } from "./job.ts";
import { type Size, toSize } from "./size.ts";

const MAX_SAMPLES = 24;
const MAX_RATIO_SAMPLES = 64;
/** Completed runs from which the sizes of a kind count as known. */
export const MIN_SAMPLES = 5;
const MIN_RATIO_SAMPLES = 16;
const MEMORY_QUANTILE = 0.95;
const CORES_QUANTILE = 0.75;
const RUNTIME_QUANTILE = 0.9;
const MEMORY_MARGIN = 1.15;
const FEW_SAMPLES_MARGIN = 1.5;
const CORES_MARGIN = 1.1;
const MIN_RATIO = 0.5;
const MAX_RATIO = 3;
const PERCENT = 100;
const REDUCED_SHARE = 0.25;
const MIN_MILLICORES = 100;
const MIN_MEMORY_MB = 64;
/** Share of the limit from which a run that was killed for memory counts as having reached the limit. */
const LIMIT_REACHED_SHARE = 0.9;

/** Resources that one run used. */
export interface Usage {
  memoryMb?: number;
  millicores?: number;
  runtimeMs?: number;
}

/** An estimate without samples. */
export function emptyEstimate(): Estimate {
  return { memoryMb: [], millicores: [], runtimeMs: [], failing: [] };
}

/** Quantile of the samples by nearest rank; 0 when there are none. */
export function quantile(samples: readonly number[], share: number): number {
  const sorted = [...samples].sort((a, b) => a - b);
  const position = Math.ceil(share * sorted.length) - 1;
  return sorted[Math.max(0, position)] ?? 0;
}

/** Records the usage of a completed run. */
export function recordUsage(jobs: Jobs, job: Job, usage: Usage): void {
  const key = kindKey(job);
  const previous = jobs.estimates[key] ?? emptyEstimate();
  jobs.estimates[key] = {
    ...previous,
    memoryMb: appendSample(previous.memoryMb, usage.memoryMb),
    millicores: appendSample(previous.millicores, usage.millicores),
    runtimeMs: appendSample(previous.runtimeMs, usage.runtimeMs),
  };
  if (usage.memoryMb !== undefined) {
    const declared = toSize(job).memoryMb;
    const ratio = Math.round(usage.memoryMb / declared * PERCENT);
    jobs.ratios = [...jobs.ratios, ratio].slice(-MAX_RATIO_SAMPLES);
  }
}

function appendSample(samples: number[], value: number | undefined): number[] {
  return value === undefined
    ? samples
    : [...samples, value].slice(-MAX_SAMPLES);
}

interface Prediction {
  memoryMb?: number;
  millicores?: number;
  runtimeMs?: number;
  medianRuntimeMs?: number;
  maxMemoryMb?: number;
}

/** Predicts sizes and run times from the estimates of one state; predictions are cached for each estimate. */
export class SizeEstimator {
  readonly #jobs: Jobs;
  readonly #predictions = new WeakMap<Estimate, Prediction>();
  readonly #observed = new Map<string, number>();
  #ratios: readonly number[] = [];
  #ratio = 1;

  constructor(jobs: Jobs) {
    this.#jobs = jobs;
  }

  /** The size to reserve for the job's next run; `limit` is the largest size that pool and quota allow. */
  reserve(job: Job, limit: Size): Size {
    const declared = toSize(job);
    const prediction = this.#predict(kindKey(job));
    const memoryMb = this.#memoryMb(job, prediction, limit);
    const millicores = prediction.millicores === undefined
      ? declared.millicores
      : Math.min(prediction.millicores, limit.millicores);
    return {
      millicores: Math.max(millicores, MIN_MILLICORES),
      memoryMb: Math.max(Math.ceil(memoryMb), MIN_MEMORY_MB),
      accelerators: declared.accelerators,
    };
  }

  /** Median run time in milliseconds; undefined while no run of the kind has completed. */
  medianRuntimeMs(job: Job): number | undefined {
    return this.#predict(kindKey(job)).medianRuntimeMs;
  }

  /**
   * Smallest size with which an urgent job may start when its reservation fits on no VM. Runs of lower priority are
   * evicted as it grows.
   */
  reducedSize(job: Job, need: Size): Size {
    const { maxMemoryMb } = this.#predict(kindKey(job));
    const minMemoryMb = maxMemoryMb ?? need.memoryMb * REDUCED_SHARE;
    const memoryMb = Math.ceil(
      Math.max(minMemoryMb, job.floorMb, MIN_MEMORY_MB),
    );
    return {
      // Processors can be redistributed by throttling at any time.
      millicores: Math.ceil(need.millicores * REDUCED_SHARE),
      memoryMb: Math.min(memoryMb, need.memoryMb),
      accelerators: need.accelerators,
    };
  }

  #memoryMb(job: Job, prediction: Prediction, limit: Size): number {
    const predictedMb = prediction.memoryMb === undefined
      ? this.#initialMemoryMb(job, limit)
      : Math.min(prediction.memoryMb, limit.memoryMb);
    if (job.floorMb <= predictedMb) {
      return predictedMb;
    }
    // A run that was killed below the limit may still fit at the limit.
    const limitReached = job.killedMb >= limit.memoryMb * LIMIT_REACHED_SHARE;
    return limitReached ? job.floorMb : Math.min(job.floorMb, limit.memoryMb);
  }

  /** Records the peak memory of a run past its warm-up; predictions use it until a run of the kind has completed. */
  observeMemory(key: string, memoryMb: number): void {
    const maxMb = Math.max(memoryMb, this.#observed.get(key) ?? 0);
    this.#observed.set(key, maxMb);
  }

  /** Whether enough runs of the kind have completed for its sizes to count as known. */
  hasEnoughSamples(key: string): boolean {
    const samples = this.#jobs.estimates[key]?.memoryMb.length ?? 0;
    return samples >= MIN_SAMPLES;
  }

  /** Expected run time in milliseconds, high enough that most runs end earlier. */
  runtimeMs(job: Job): number {
    return this.#predict(kindKey(job)).runtimeMs ?? job.runtimeMs;
  }

  #predict(key: string): Prediction {
    const estimate = this.#jobs.estimates[key];
    if (estimate === undefined || estimate.memoryMb.length === 0) {
      const observed = this.#observed.get(key);
      return observed === undefined
        ? {}
        : { memoryMb: Math.ceil(observed * FEW_SAMPLES_MARGIN) };
    }
    let prediction = this.#predictions.get(estimate);
    if (prediction === undefined) {
      prediction = fromSamples(estimate);
      this.#predictions.set(estimate, prediction);
    }
    return prediction;
  }

  #initialRatio(): number {
    const { ratios } = this.#jobs;
    if (this.#ratios !== ratios) {
      this.#ratios = ratios;
      this.#ratio = initialRatio(ratios);
    }
    return this.#ratio;
  }

  #initialMemoryMb(job: Job, limit: Size): number {
    const declared = toSize(job).memoryMb;
    const predictedMb = declared * this.#initialRatio();
    if (predictedMb <= limit.memoryMb) {
      return predictedMb;
    }
    return declared <= limit.memoryMb ? limit.memoryMb : declared;
  }
}

function initialRatio(ratios: readonly number[]): number {
  if (ratios.length < MIN_RATIO_SAMPLES) {
    return 1;
  }
  const ratio = quantile(ratios, 0.75) / PERCENT;
  return Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
}

function fromSamples(estimate: Estimate): Prediction {
  const count = estimate.memoryMb.length;
  if (count === 0) {
    return {};
  }
  const memory = count >= MIN_SAMPLES
    ? quantile(estimate.memoryMb, MEMORY_QUANTILE) * MEMORY_MARGIN
    : Math.max(...estimate.memoryMb) * FEW_SAMPLES_MARGIN;
  const cores = quantile(estimate.millicores, CORES_QUANTILE) * CORES_MARGIN;
  return {
    memoryMb: Math.ceil(memory),
    millicores: Math.ceil(cores),
    runtimeMs: quantile(estimate.runtimeMs, RUNTIME_QUANTILE),
    medianRuntimeMs: quantile(estimate.runtimeMs, 0.5),
    maxMemoryMb: Math.max(...estimate.memoryMb),
  };
}

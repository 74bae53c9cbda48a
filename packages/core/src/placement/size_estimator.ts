/**
 * Learns sizes and run times of jobs from what earlier runs used. Reservations take a high quantile of recent peaks,
 * after "Autopilot: workload autoscaling at Google" (Rzadca et al., EuroSys 2020).
 *
 * @module
 */
import { type Estimate, type Job, type Jobs, kindKey } from "./job.ts";
import { type Size, toSize } from "./size.ts";

const MAX_SAMPLES = 24;
const MAX_RATIO_SAMPLES = 64;
/** Ended runs after which the declared size no longer counts. */
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
/** Share of the limit from which a killed run counts as having had all of it. */
const LIMIT_REACHED_SHARE = 0.9;

/** What one run used. */
export interface Usage {
  memoryMb?: number;
  millicores?: number;
  runtimeMs?: number;
}

/** An estimate without samples. */
export function emptyEstimate(): Estimate {
  return { memoryMb: [], millicores: [], runtimeMs: [], failing: [] };
}

/** The value below which the given share of the samples lies. */
export function quantile(samples: readonly number[], share: number): number {
  const sorted = [...samples].sort((a, b) => a - b);
  const position = Math.ceil(share * sorted.length) - 1;
  return sorted[Math.max(0, position)] ?? 0;
}

/** Records what a run that was done used. */
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

/** Sizes from the estimates of one state; each estimate is worked out once. */
export class SizeEstimator {
  readonly #jobs: Jobs;
  readonly #predictions = new WeakMap<Estimate, Prediction>();
  readonly #observed = new Map<string, number>();
  #ratios: readonly number[] = [];
  #ratio = 1;

  constructor(jobs: Jobs) {
    this.#jobs = jobs;
  }

  /** The size to reserve for the job's next run; `limit` is the most that pool and quota could ever give. */
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

  /** The median run time; undefined while it is not known. */
  medianRuntimeMs(job: Job): number | undefined {
    return this.#predict(kindKey(job)).medianRuntimeMs;
  }

  /**
   * The least size with which an urgent job may start when its reservation fits nowhere. Runs of lower classes leave
   * as it grows.
   */
  reducedSize(job: Job, need: Size): Size {
    const { maxMemoryMb: peakMb } = this.#predict(kindKey(job));
    const leastMb = peakMb ?? need.memoryMb * REDUCED_SHARE;
    const memoryMb = Math.ceil(Math.max(leastMb, job.floorMb, MIN_MEMORY_MB));
    return {
      // Processors can be shared out anew at any time.
      millicores: Math.ceil(need.millicores * REDUCED_SHARE),
      memoryMb: Math.min(memoryMb, need.memoryMb),
      accelerators: need.accelerators,
    };
  }

  #memoryMb(job: Job, prediction: Prediction, limit: Size): number {
    const guess = prediction.memoryMb === undefined
      ? this.#initialMemoryMb(job, limit)
      : Math.min(prediction.memoryMb, limit.memoryMb);
    if (job.floorMb <= guess) {
      return guess;
    }
    // A run that was killed below the limit may still fit at the limit.
    const limitReached = job.killedMb >= limit.memoryMb * LIMIT_REACHED_SHARE;
    return limitReached ? job.floorMb : Math.min(job.floorMb, limit.memoryMb);
  }

  /** Notes what a run uses that has gone on for a while; it stands in for ended runs while there are none. */
  observeMemory(key: string, memoryMb: number): void {
    const most = Math.max(memoryMb, this.#observed.get(key) ?? 0);
    this.#observed.set(key, most);
  }

  /** Whether enough runs of the kind have ended to trust its sizes. */
  hasEnoughSamples(key: string): boolean {
    const samples = this.#jobs.estimates[key]?.memoryMb.length ?? 0;
    return samples >= MIN_SAMPLES;
  }

  /** The expected run time; high enough that most runs end earlier. */
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
      this.#ratio = firstRatio(ratios);
    }
    return this.#ratio;
  }

  #initialMemoryMb(job: Job, limit: Size): number {
    const declared = toSize(job).memoryMb;
    const guess = declared * this.#initialRatio();
    if (guess <= limit.memoryMb) {
      return guess;
    }
    return declared <= limit.memoryMb ? limit.memoryMb : declared;
  }
}

function firstRatio(ratios: readonly number[]): number {
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

/**
 * Speed of workers, estimated from the durations of their runs against the expected durations.
 *
 * Servers slow down by up to eight times and look healthy otherwise. One long run says little, since the duration of a
 * job is guessed, so the median of several runs of several jobs counts, relative to that of the pool: where all runs take
 * longer than expected, the expectations are wrong. Observations expire. A worker that was slow is then probed with one
 * task at a time until a run shows that it is fast again.
 *
 * @module
 */
import { runName } from "../model/task_name.ts";

/** Age at which an observation expires; some ten tasks. */
const WINDOW_MS = 15_000;

/** Maximum number of observations kept of one worker, and of one pool. */
const MAX_WORKER_RUNS = 9;
const MAX_POOL_RUNS = 63;

/** Observations that are needed to judge a worker, and jobs that they must be of. */
const MIN_RUNS = 3;
const MIN_JOBS = 2;

/** Observations of a pool that are needed to compare with them; expectations count as right before. */
const MIN_POOL_RUNS = 9;

/** Factor from which on a worker is slow: above what tasks that are not near their data take. */
const SLOW_FACTOR = 2.2;

/** Factor below which a slow worker is fast again. */
const FAST_FACTOR = 1.5;

/** Bounds of an observation, so that a hung run is no infinite one. */
const MAX_RATIO = 16;
const MIN_RATIO = 0.125;

/** One run on a worker, ended or in progress. */
export interface RunSpeed {
  worker: string;
  pool: string;
  task: string;
  run: number;
  job: string;
  expectedMs: number;
  /** Actual duration, or the one that its progress so far indicates. */
  tookMs: number;
}

/** How slow a worker is. */
export interface Slowness {
  /** How many times longer than on other workers its runs take. */
  factor: number;
  /** Whether the estimate has expired, so that the worker is retried with one task at a time. */
  isProbed: boolean;
}

/** A change of a worker's speed, for logs. */
export type SpeedChange = "slowed" | "recovered" | undefined;

interface Observation {
  job: string;
  ratio: number;
  at: number;
}

interface PoolRecord {
  /** Latest ratios of the pool's runs, oldest first. */
  ratios: number[];
  /** The same in ascending order, so that a new run does not sort them anew. */
  sorted: number[];
}

interface WorkerRecord {
  /** Observations by task and run, oldest first. */
  runs: Map<string, Observation>;
  /** Undefined if the worker is not known to be slow. */
  slow: { factor: number; judgedAt: number } | undefined;
}

export class WorkerSpeed {
  /** Whether runs are judged at all. */
  readonly isEnabled: boolean;
  readonly #workers = new Map<string, WorkerRecord>();
  readonly #pools = new Map<string, PoolRecord>();

  /** If not enabled, no worker is judged slow. */
  constructor(isEnabled = true) {
    this.isEnabled = isEnabled;
  }

  /** How slow a worker is; undefined if it is not known to be slow. */
  slownessOf(worker: string, now: number): Slowness | undefined {
    const slow = this.#workers.get(worker)?.slow;
    return slow && {
      factor: slow.factor,
      isProbed: now - slow.judgedAt > WINDOW_MS,
    };
  }

  /** How many times longer than on other workers the runs on a worker take; 1 if it is not known to be slow. */
  factor(worker: string): number {
    return this.#workers.get(worker)?.slow?.factor ?? 1;
  }

  /** Records a run, which replaces an earlier record of it; returns whether the worker's speed is judged anew. */
  record(run: RunSpeed, now: number): SpeedChange {
    const { worker, pool, task, run: number, job, expectedMs, tookMs } = run;
    if (!this.isEnabled) {
      return undefined;
    }
    const ratio = Math.min(
      MAX_RATIO,
      Math.max(MIN_RATIO, tookMs / Math.max(1, expectedMs)),
    );
    const record = this.#workers.get(worker) ??
      { runs: new Map<string, Observation>(), slow: undefined };
    this.#workers.set(worker, record);
    const key = runName({ task, run: number });
    if (!record.runs.has(key)) {
      this.#recordInPool(pool, ratio);
    }
    record.runs.delete(key);
    record.runs.set(key, { job, ratio, at: now });
    removeOld(record, now);
    return judge(record, ratio, typicalRatioOf(this.#pools.get(pool)), now);
  }

  /** Deletes the record of a worker that was removed or has restarted. */
  remove(worker: string): void {
    this.#workers.delete(worker);
  }

  #recordInPool(pool: string, ratio: number): void {
    const record = this.#pools.get(pool) ?? { ratios: [], sorted: [] };
    this.#pools.set(pool, record);
    const { ratios, sorted } = record;
    ratios.push(ratio);
    sorted.splice(positionOf(ratio, sorted), 0, ratio);
    const oldest = ratios.length > MAX_POOL_RUNS ? ratios.shift() : undefined;
    if (oldest !== undefined) {
      sorted.splice(positionOf(oldest, sorted), 1);
    }
  }
}

/** Median of the ratios of a pool's runs: how far off expectations are there. */
function typicalRatioOf(pool: PoolRecord | undefined): number {
  return pool === undefined || pool.sorted.length < MIN_POOL_RUNS
    ? 1
    : middleOf(pool.sorted);
}

/** Position of the first value that is not below `value` in an ascending list. */
function positionOf(value: number, sorted: readonly number[]): number {
  let from = 0;
  let to = sorted.length;
  while (from < to) {
    const middle = (from + to) >> 1;
    if ((sorted[middle] ?? Infinity) < value) {
      from = middle + 1;
    } else {
      to = middle;
    }
  }
  return from;
}

function removeOld({ runs }: WorkerRecord, now: number): void {
  for (const [key, { at }] of runs) {
    if (now - at > WINDOW_MS || runs.size > MAX_WORKER_RUNS) {
      runs.delete(key);
    }
  }
}

/** Judges a worker after a run of ratio `latest`. */
function judge(
  record: WorkerRecord,
  latest: number,
  typicalRatio: number,
  now: number,
): SpeedChange {
  const { runs, slow } = record;
  if (slow === undefined && areAllBelow(runs, SLOW_FACTOR * typicalRatio)) {
    return undefined;
  }
  const observations = [...runs.values()];
  const jobs = new Set(observations.map(({ job }) => job));
  const isSufficient = observations.length >= MIN_RUNS &&
    jobs.size >= MIN_JOBS;
  const isProbe = slow !== undefined && now - slow.judgedAt > WINDOW_MS;
  if (!isSufficient && !isProbe) {
    return undefined;
  }
  const ratio = isProbe ? latest : typicalOfJobs(observations);
  const factor = ratio / typicalRatio;
  if (slow === undefined) {
    record.slow = factor >= SLOW_FACTOR ? { factor, judgedAt: now } : undefined;
    return record.slow && "slowed";
  }
  if (factor < FAST_FACTOR) {
    record.slow = undefined;
    runs.clear();
    return "recovered";
  }
  if (factor >= SLOW_FACTOR) {
    record.slow = isProbe ? { ...slow, factor } : { factor, judgedAt: now };
  }
  return undefined;
}

/** Whether the ratios of all runs are below a limit. */
function areAllBelow(runs: WorkerRecord["runs"], limit: number): boolean {
  for (const { ratio } of runs.values()) {
    if (ratio >= limit) {
      return false;
    }
  }
  return true;
}

/** Median over the jobs of the medians of their runs; the lower one of two, so that a single long job never decides. */
function typicalOfJobs(observations: readonly Observation[]): number {
  const byJob = new Map<string, number[]>();
  for (const { job, ratio } of observations) {
    byJob.set(job, [...byJob.get(job) ?? [], ratio]);
  }
  const medians = [...byJob.values()].map(median).sort((a, b) => a - b);
  return medians[Math.floor((medians.length - 1) / 2)] ?? 1;
}

function median(values: readonly number[]): number {
  return middleOf(values.toSorted((a, b) => a - b));
}

function middleOf(sorted: readonly number[]): number {
  return sorted[Math.floor(sorted.length / 2)] ?? 1;
}

/**
 * Estimates of task durations, learned per queue from submitters' guesses and actual durations.
 *
 * Guesses can be far off. A guess is weighted by how well the queue's guesses have distinguished long tasks from short
 * ones, and otherwise shrunk towards the queue's mean.
 *
 * @module
 */
import type { BatchJobSpec } from "../model/batch_job.ts";
import type { JobRecord } from "../model/job_record.ts";

/** Weight that an observation keeps with each later one; about 50 tasks (6 to 10 jobs) set the estimate. */
const DECAY = 0.98;

/** Weight of the prior that guesses are right on average, in observations; it decays like them. */
const MEAN_PRIOR_WEIGHT = 2;

/** Weight of the prior that guesses distinguish long tasks from short ones, in observations; about three jobs. */
const SLOPE_PRIOR_WEIGHT = 20;

/** Duration assumed for a task without a guess. */
const DEFAULT_TASK_MS = 1_000;

/** Bounds of the ratio of duration to guess, so that one hung or aborted task does not dominate the estimate. */
const MAX_RATIO = 8;
const MIN_RATIO = 0.125;

/** Assumed variance of the logarithm of a guess, which scales the slope prior; that of guesses off by half. */
const GUESS_VARIANCE = 0.25;

/** Weighted sums over the tasks of a queue; x is the logarithm of a guess, d that of actual duration over guess. */
interface Sums {
  weight: number;
  x: number;
  d: number;
  xx: number;
  xd: number;
  dd: number;
}

/** Sums and the fit to them: log(expected duration) = `factor` * log(guess) + `offset`. */
interface Fit extends Sums {
  factor: number;
  offset: number;
}

/**
 * Durations by queue and guess: a log-linear regression with exponential forgetting, regularized towards correct
 * guesses (ridge regression), and corrected to the mean of the log-normal distribution.
 */
export class WorkEstimate {
  readonly #queues = new Map<string, Fit>();
  /** Critical paths by job, and the fit that they were computed with; a pass asks for those of each waiting step. */
  readonly #criticalPaths = new WeakMap<
    BatchJobSpec,
    { fit: Fit | undefined; lengths: number[] }
  >();

  /** Records the duration of a completed task; a guess of 0 ms means none. */
  observe(queue: string, guessedMs: number, tookMs: number): void {
    const ratio = tookMs / (guessedMs || DEFAULT_TASK_MS);
    const x = Math.log(guessedMs || DEFAULT_TASK_MS);
    const d = Math.log(Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio)));
    const before = this.#queues.get(queue) ?? {
      weight: MEAN_PRIOR_WEIGHT,
      x: MEAN_PRIOR_WEIGHT * x,
      d: 0,
      xx: MEAN_PRIOR_WEIGHT * x * x,
      xd: 0,
      dd: 0,
    };
    const add = (old: number, value: number): number => DECAY * old + value;
    const sums = {
      weight: add(before.weight, 1),
      x: add(before.x, x),
      d: add(before.d, d),
      xx: add(before.xx, x * x),
      xd: add(before.xd, x * d),
      dd: add(before.dd, d * d),
    };
    this.#queues.set(queue, fitOf(sums));
  }

  /** Expected duration of a task, in milliseconds; a guess of 0 ms means none. */
  taskMs(queue: string, guessedMs: number): number {
    const guess = guessedMs || DEFAULT_TASK_MS;
    const fit = this.#queues.get(queue);
    return fit === undefined
      ? guess
      : Math.exp(fit.factor * Math.log(guess) + fit.offset);
  }

  /** Expected length of the critical path through the steps from index `from` on, in milliseconds. */
  criticalPathMs({ spec, queue }: JobRecord, from = 0): number {
    if (spec === undefined) {
      return 0;
    }
    const fit = this.#queues.get(queue);
    let known = this.#criticalPaths.get(spec);
    if (known === undefined || known.fit !== fit) {
      known = { fit, lengths: this.#criticalPathsMs(spec, queue) };
      this.#criticalPaths.set(spec, known);
    }
    return known.lengths[from] ?? 0;
  }

  /** Lengths of the critical paths through the steps from each index on. */
  #criticalPathsMs({ steps }: BatchJobSpec, queue: string): number[] {
    // Length of the longest path that starts at a step, without that step.
    const after = steps.map(() => 0);
    const lengths: number[] = [];
    let longest = 0;
    for (let step = steps.length - 1; step >= 0; step--) {
      const { dependsOn, estimatedMs } = steps[step]!;
      const length = after[step]! + this.taskMs(queue, estimatedMs);
      for (const other of dependsOn) {
        after[other] = Math.max(after[other] ?? 0, length);
      }
      longest = Math.max(longest, length);
      lengths[step] = longest;
    }
    return lengths;
  }

  /** Expected CPU time of a whole job, in core-milliseconds, without long-running tasks. */
  jobCoreMs({ spec, queue }: JobRecord): number {
    return (spec?.steps ?? []).reduce((sum, step) => {
      const { taskCount, demand, estimatedMs, lasting } = step;
      const each = demand.cpuMilli / 1_000 * this.taskMs(queue, estimatedMs);
      return sum + (lasting ? 0 : taskCount * each);
    }, 0);
  }
}

function fitOf(sums: Sums): Fit {
  const { weight } = sums;
  const meanX = sums.x / weight;
  const meanD = sums.d / weight;
  const varianceX = sums.xx - weight * meanX * meanX;
  const covariance = sums.xd - meanX * sums.d;
  const slope = covariance / (varianceX + SLOPE_PRIOR_WEIGHT * GUESS_VARIANCE);
  const residual = sums.dd - meanD * sums.d -
    2 * slope * covariance + slope * slope * varianceX;
  const variance = Math.max(0, residual) / weight;
  return {
    ...sums,
    factor: 1 + slope,
    offset: meanD - slope * meanX + variance / 2,
  };
}

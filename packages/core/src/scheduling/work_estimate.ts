/**
 * How long tasks of a queue really take against their submitters' guesses.
 *
 * Answers the pattern of guesses that are far off: a guess is trusted as far as the guesses of its queue have told long
 * tasks from short ones, and pulled towards the queue's mean otherwise.
 *
 * @module
 */
import type { JobRecord } from "./job_record.ts";

/** Weight that an observation keeps with each later one: some fifty tasks, six to ten jobs, set the estimate. */
const MEMORY = 0.98;

/** Weight of the assumption that guesses are right on the mean, in observations; it fades like they do. */
const TRUST_IN_MEAN = 2;

/** Weight of the assumption that guesses tell long tasks from short ones, in observations: about three jobs. */
const TRUST_IN_ORDER = 20;

/** Duration assumed for a task without a guess, in milliseconds. */
const DEFAULT_TASK_MS = 1_000;

/** Bounds of one observed ratio, so that a hung or aborted task does not set the estimate alone. */
const MAX_RATIO = 8;
const MIN_RATIO = 0.125;

/** Assumed variance of logarithms of guesses, which scales the trust in them; it is that of guesses off by half. */
const GUESS_VARIANCE = 0.25;

/** Weighted sums over the tasks of one queue; x is the logarithm of a guess, d that of real duration over guess. */
interface Sums {
  weight: number;
  x: number;
  d: number;
  xx: number;
  xd: number;
  dd: number;
}

/** Sums and what they make of guesses: the logarithm of a duration is that of the guess times `factor` plus `offset`. */
interface Fit extends Sums {
  factor: number;
  offset: number;
}

/**
 * Real durations by queue and guess: a log-linear regression with exponential forgetting, regularized towards guesses
 * that are right (ridge regression), and corrected to the mean of the log-normal distribution.
 */
export class WorkEstimate {
  readonly #queues = new Map<string, Fit>();

  /** Learns from a task that was done. */
  observe(queue: string, guessedMs: number, tookMs: number): void {
    const ratio = tookMs / (guessedMs || DEFAULT_TASK_MS);
    const x = Math.log(guessedMs || DEFAULT_TASK_MS);
    const d = Math.log(Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio)));
    const before = this.#queues.get(queue) ?? {
      weight: TRUST_IN_MEAN,
      x: TRUST_IN_MEAN * x,
      d: 0,
      xx: TRUST_IN_MEAN * x * x,
      xd: 0,
      dd: 0,
    };
    const add = (old: number, value: number): number => MEMORY * old + value;
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

  /** Expected duration of a task, in milliseconds. */
  taskMs(queue: string, guessedMs: number): number {
    const guess = guessedMs || DEFAULT_TASK_MS;
    const fit = this.#queues.get(queue);
    return fit === undefined
      ? guess
      : Math.exp(fit.factor * Math.log(guess) + fit.offset);
  }

  /** Expected length of the longest chain of steps from a step on, in milliseconds. */
  chainMs({ spec, queue }: JobRecord, from = 0): number {
    const steps = spec?.steps ?? [];
    const lengths: number[] = [];
    let longest = 0;
    for (let step = from; step < steps.length; step++) {
      const { dependsOn = [], estimatedMs = 0 } = steps[step] ?? {};
      const before = dependsOn.reduce(
        (most, other) => Math.max(most, lengths[other] ?? 0),
        0,
      );
      const length = before + this.taskMs(queue, estimatedMs);
      lengths[step] = length;
      longest = Math.max(longest, length);
    }
    return longest;
  }

  /** Expected processor time of a whole job, in core-milliseconds; tasks that last count nothing. */
  workOf({ spec, queue }: JobRecord): number {
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
  const slope = covariance / (varianceX + TRUST_IN_ORDER * GUESS_VARIANCE);
  const spread = sums.dd - meanD * sums.d -
    2 * slope * covariance + slope * slope * varianceX;
  const variance = Math.max(0, spread) / weight;
  return {
    ...sums,
    factor: 1 + slope,
    offset: meanD - slope * meanX + variance / 2,
  };
}

/**
 * How long tasks of a queue really take against their submitters' guesses.
 *
 * @module
 */
import type { JobRecord } from "./job_record.ts";

/** Weight of one observation: some twenty tasks, two or three jobs, set the estimate. */
const OBSERVATION_WEIGHT = 0.05;

/** Duration assumed for a task without a guess, in milliseconds. */
const DEFAULT_TASK_MS = 1_000;

/** Bounds of one observed ratio, so that a hung or aborted task does not set the estimate alone. */
const MAX_RATIO = 8;
const MIN_RATIO = 0.125;

/** Ratio of real durations to guesses, by queue: an exponentially weighted mean. */
export class WorkEstimate {
  readonly #ratios = new Map<string, number>();

  /** Learns from a task that was done. */
  observe(queue: string, guessedMs: number, tookMs: number): void {
    const observed = Math.min(
      MAX_RATIO,
      Math.max(MIN_RATIO, tookMs / (guessedMs || DEFAULT_TASK_MS)),
    );
    const known = this.#ratios.get(queue) ?? 1;
    this.#ratios.set(queue, known + OBSERVATION_WEIGHT * (observed - known));
  }

  /** Expected duration of a task, in milliseconds. */
  taskMs(queue: string, guessedMs: number): number {
    return (guessedMs || DEFAULT_TASK_MS) * (this.#ratios.get(queue) ?? 1);
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

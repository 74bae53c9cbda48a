/**
 * Scores of how well a task fits into the free resources of a worker.
 *
 * @module
 */
import type { Resources } from "../model/batch_job.ts";

/** Scores a demand against free resources; the lower, the better. */
export type FitScore = (
  demand: Resources,
  free: Resources,
  capacity: Resources,
) => number;

/**
 * Best fit by CPU: the worker with the least free CPU. Scores of CPU and memory apart were no better on the loads of
 * `bench fit-scores` (docs/design/lookahead_placement.md).
 */
export const leastFreeCpu: FitScore = (_, free) => free.cpuMilli;

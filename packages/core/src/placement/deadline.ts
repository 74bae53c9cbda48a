/**
 * Finds overnight jobs whose deadline is so near that they may use the share reserved for live jobs.
 *
 * @module
 */
import type { Job } from "./job.ts";
import type { SizeEstimator } from "./size_estimator.ts";

const RUNTIME_MARGIN = 1.5;
const START_MARGIN_MS = 300_000;

/** Whether the job must start soon to end by its deadline. */
export function isNearDeadline(
  job: Job,
  estimator: SizeEstimator,
  at: number,
): boolean {
  if (job.priority !== "overnight" || job.deadline === undefined) {
    return false;
  }
  const neededMs = estimator.runtimeMs(job) * RUNTIME_MARGIN + START_MARGIN_MS;
  return at + neededMs >= job.deadline;
}

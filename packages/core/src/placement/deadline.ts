/**
 * Finds overnight jobs whose deadline is so near that they may use the share kept for live work.
 *
 * @module
 */
import type { Job } from "./job.ts";
import type { Sizing } from "./learning.ts";

const RUNTIME_MARGIN = 1.5;
const START_MARGIN_MS = 300_000;

/** Whether the job must start soon to end by its deadline. */
export function isPressing(job: Job, sizing: Sizing, at: number): boolean {
  if (job.priority !== "overnight" || job.deadline === undefined) {
    return false;
  }
  const neededMs = sizing.runtimeMs(job) * RUNTIME_MARGIN + START_MARGIN_MS;
  return at + neededMs >= job.deadline;
}

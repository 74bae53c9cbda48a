/**
 * Updates of the replicated state that accompany each change of a job: change feed, ended jobs and runs per VM.
 *
 * @module
 */
import { digestOf } from "./digest.ts";
import type { Job, JobEnd, Jobs } from "./job.ts";

const MAX_FEED_IDS = 16_384;

/** Adds a job to the change feed, from which indexes are updated without reading every job. */
export function recordChange(jobs: Jobs, id: string): void {
  const { feed } = jobs;
  feed.ids.push(id);
  if (feed.ids.length > 2 * MAX_FEED_IDS) {
    const excess = feed.ids.length - MAX_FEED_IDS;
    feed.ids.splice(0, excess);
    feed.from += excess;
  }
}

/** Ends a job that has no run. */
export function endJob(
  jobs: Jobs,
  job: Job,
  ending: { end: JobEnd; reason?: string; at: number },
): void {
  delete jobs.active[job.id];
  jobs.ended[job.id] = { digest: digestOf(job), team: job.team, ...ending };
  recordChange(jobs, job.id);
}

/** Number of runs on a VM. */
export function runCount(jobs: Jobs, vm: string): number {
  return jobs.runsOn[vm] ?? 0;
}

/** Updates the number of runs on a VM. */
export function countRun(jobs: Jobs, vm: string, change: 1 | -1): void {
  const count = runCount(jobs, vm) + change;
  if (count === 0) {
    delete jobs.runsOn[vm];
  } else {
    jobs.runsOn[vm] = count;
  }
}

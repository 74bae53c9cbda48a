/**
 * Jobs that have ended and whose outcome is still kept.
 *
 * @module
 */
import type { JobRecord } from "../model/job_record.ts";

/** Bound of `recent`; a follower never empties the list. */
const MAX_RECENT = 256;

export class EndedJobs {
  /** Jobs that ended since the list was last emptied; bounded, and not part of the replicated state. */
  readonly recent: JobRecord[] = [];
  /** Oldest first. */
  readonly #jobs = new Set<JobRecord>();

  add(job: JobRecord): void {
    this.#jobs.add(job);
    if (this.recent.length >= MAX_RECENT) {
      this.recent.shift();
    }
    this.recent.push(job);
  }

  /** Adds a job that ended before the store was restored. */
  restore(job: JobRecord): void {
    this.#jobs.add(job);
  }

  /** Removes and returns the jobs that ended before a time and have no active runs. */
  removeOlder(endedBeforeMs: number): JobRecord[] {
    const removed = [...this.#jobs].filter(({ endedAtMs, activeRuns }) =>
      (endedAtMs ?? 0) < endedBeforeMs && activeRuns === 0
    );
    removed.forEach((job) => this.#jobs.delete(job));
    return removed;
  }
}

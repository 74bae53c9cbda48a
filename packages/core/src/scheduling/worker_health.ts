/**
 * Which workers are to be left alone for a while, from how runs end and progress there.
 *
 * Answers the pattern of workers that report themselves healthy and fail, hang or delay what they run. Failures of one
 * job say little about a worker, because some jobs fail everywhere; failures of several jobs in a row do.
 *
 * @module
 */
import type { RunEnding } from "./command.ts";

/** Jobs that must fail in a row on a worker, with none of its tasks done in between. */
const FAILED_JOBS = 2;

/** First pause, in milliseconds: a few tasks; doubled with each pause that did not help. */
const FIRST_PAUSE_MS = 2_000;
const LONGEST_PAUSE_MS = 16_000;

interface Record {
  failedJobs: Set<string>;
  pausedUntil: number;
  pauseMs: number;
}

export class WorkerHealth {
  readonly #records = new Map<string, Record>();

  /** Whether a worker may get new work. */
  isTrusted(worker: string, now: number): boolean {
    return now >= (this.#records.get(worker)?.pausedUntil ?? 0);
  }

  /** Notes the end of a run; returns whether the worker was paused for it. */
  noteEnd(
    worker: string,
    job: string,
    how: RunEnding,
    now: number,
  ): boolean {
    if (how === "done") {
      this.#records.delete(worker);
      return false;
    }
    if (how !== "failed") {
      return false;
    }
    const record = this.#record(worker);
    record.failedJobs.add(job);
    // After a pause, the first failure is enough.
    const needed = record.pausedUntil > 0 ? 1 : FAILED_JOBS;
    return record.failedJobs.size >= needed && this.#pause(record, now);
  }

  /** Notes that nothing on a worker progresses; returns whether it was paused for it. */
  noteStall(worker: string, now: number): boolean {
    return this.isTrusted(worker, now) &&
      this.#pause(this.#record(worker), now);
  }

  /** Drops what is known of a worker that is gone. */
  forget(worker: string): void {
    this.#records.delete(worker);
  }

  #record(worker: string): Record {
    let record = this.#records.get(worker);
    if (record === undefined) {
      record = {
        failedJobs: new Set(),
        pausedUntil: 0,
        pauseMs: FIRST_PAUSE_MS,
      };
      this.#records.set(worker, record);
    }
    return record;
  }

  #pause(record: Record, now: number): boolean {
    record.failedJobs.clear();
    record.pausedUntil = now + record.pauseMs;
    record.pauseMs = Math.min(LONGEST_PAUSE_MS, 2 * record.pauseMs);
    return true;
  }
}

/**
 * Pausing of workers that get no new work for a while, from how runs end and progress on them.
 *
 * Some workers report themselves healthy and yet fail, hang or delay their runs. Failures of one job say little about
 * a worker, as some jobs fail on every worker. Failures of several jobs in a row indicate a faulty worker, unless these
 * jobs fail on other workers as well.
 *
 * @module
 */
import { evictOldest } from "../../eviction.ts";
import type { RunOutcome } from "../model/command.ts";

/** Jobs that must fail on a worker, without a completed task in between, before it is paused. */
const MIN_FAILED_JOBS = 2;

/** First pause; as long as a few tasks, and doubled with each further pause until a task is completed. */
const FIRST_PAUSE_MS = 2_000;
const MAX_PAUSE_MS = 16_000;

/** Maximum number of failed jobs kept; the oldest are evicted first. */
const MAX_FAILED_JOBS = 4_096;

interface FailureRecord {
  /** Jobs that failed since the last completed task or pause. */
  failedJobs: Set<string>;
  /** Jobs whose failures caused the current pause. */
  pausedForJobs: Set<string>;
  pausedUntil: number;
  pauseMs: number;
}

export class WorkerHealth {
  readonly #records = new Map<string, FailureRecord>();
  /** Worker on which each job failed first; undefined once the job failed on another one as well. */
  readonly #failedFirstOn = new Map<string, string | undefined>();

  /** Whether a worker may get new work. */
  isTrusted(worker: string, now: number): boolean {
    return now >= (this.#records.get(worker)?.pausedUntil ?? 0);
  }

  /** Records the end of a run; returns whether this pauses the worker. */
  recordEnd(
    worker: string,
    job: string,
    how: RunOutcome,
    now: number,
  ): boolean {
    if (how === "done") {
      this.#records.delete(worker);
      return false;
    }
    if (how !== "failed") {
      return false;
    }
    if (this.#failsOnOtherWorkers(worker, job, now)) {
      return false;
    }
    const record = this.#recordOf(worker);
    record.failedJobs.add(job);
    // After a pause, a single failure suffices.
    const needed = record.pausedUntil > 0 ? 1 : MIN_FAILED_JOBS;
    return record.failedJobs.size >= needed && this.#pause(record, now);
  }

  /** Whether a job has failed on another worker too; if so, its failure no longer counts against the first one. */
  #failsOnOtherWorkers(worker: string, job: string, now: number): boolean {
    const isKnown = this.#failedFirstOn.has(job);
    const first = this.#failedFirstOn.get(job);
    if (!isKnown) {
      this.#recordFirstFailure(job, worker);
      return false;
    }
    if (first === worker) {
      return false;
    }
    if (first !== undefined) {
      this.#failedFirstOn.set(job, undefined);
      this.#retractFailure(first, job, now);
    }
    return true;
  }

  #recordFirstFailure(job: string, worker: string): void {
    this.#failedFirstOn.set(job, worker);
    evictOldest(this.#failedFirstOn, MAX_FAILED_JOBS);
  }

  #retractFailure(worker: string, job: string, now: number): void {
    const record = this.#records.get(worker);
    record?.failedJobs.delete(job);
    const wasCause = record?.pausedForJobs.delete(job) === true;
    if (
      wasCause && record.pausedForJobs.size === 0 && now < record.pausedUntil
    ) {
      this.#records.delete(worker);
    }
  }

  /** Records that no run on a worker progresses; returns whether this pauses the worker. */
  recordStall(worker: string, now: number): boolean {
    return this.isTrusted(worker, now) &&
      this.#pause(this.#recordOf(worker), now);
  }

  /** Deletes the record of a worker that was removed. */
  remove(worker: string): void {
    this.#records.delete(worker);
  }

  #recordOf(worker: string): FailureRecord {
    let record = this.#records.get(worker);
    if (record === undefined) {
      record = {
        failedJobs: new Set(),
        pausedForJobs: new Set(),
        pausedUntil: 0,
        pauseMs: FIRST_PAUSE_MS,
      };
      this.#records.set(worker, record);
    }
    return record;
  }

  #pause(record: FailureRecord, now: number): boolean {
    record.pausedForJobs = record.failedJobs;
    record.failedJobs = new Set();
    record.pausedUntil = now + record.pauseMs;
    record.pauseMs = Math.min(MAX_PAUSE_MS, 2 * record.pauseMs);
    return true;
  }
}

/**
 * Pausing of workers that get no new work for a while, from how runs end and progress on them.
 *
 * Some workers report themselves healthy and yet fail, hang or delay their runs. Failures of one job say little about
 * a worker, as some jobs fail on every worker. Failures of several jobs in a row indicate a faulty worker, unless these
 * jobs fail on other workers as well. A worker shows that it is sound by a task that is done, or by a long-running one
 * that becomes ready, since that is never done.
 *
 * A step that no other worker could take does not wait for the end of a long pause: it tries a paused worker again.
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

/**
 * Longest time until a paused worker may be tried again by a step that no other can take. A long-running task is to have
 * a run within 9 s of its last one.
 */
const MAX_RETRY_PAUSE_MS = 4_000;

/** Time without a failure, or after the end of a pause, after which failures are forgotten. */
const FORGET_AFTER_MS = MAX_PAUSE_MS;

/** Maximum number of failed jobs kept; the oldest are evicted first. */
const MAX_FAILED_JOBS = 4_096;

/** Why a worker is paused. */
export type PauseCause = "failures" | "stall";

/** A pause that has not ended. */
export interface Pause {
  cause: PauseCause;
  /** When the worker gets new work again, in monotonic milliseconds. */
  until: number;
  /** When a step that no other worker can take may try it again. */
  retryAt: number;
}

interface FailureRecord {
  /** Jobs that failed since the last sign that the worker is sound, or since its last pause. */
  failedJobs: Set<string>;
  /** Jobs whose failures caused the current pause. */
  pausedForJobs: Set<string>;
  pause: Pause | undefined;
  /** Length of the next pause. */
  nextPauseMs: number;
  lastFailureAt: number;
}

export class WorkerHealth {
  readonly #records = new Map<string, FailureRecord>();
  /** Worker on which each job failed first; undefined once the job failed on another one as well. */
  readonly #failedFirstOn = new Map<string, string | undefined>();

  /** Whether a worker may get new work. */
  isTrusted(worker: string, now: number): boolean {
    return this.pauseOf(worker, now) === undefined;
  }

  /** The pause of a worker at a time; undefined if it may get new work. */
  pauseOf(worker: string, now: number): Pause | undefined {
    const pause = this.#records.get(worker)?.pause;
    return pause !== undefined && now < pause.until ? pause : undefined;
  }

  /** Records the end of a run; returns whether this pauses the worker. */
  recordEnd(
    worker: string,
    job: string,
    how: RunOutcome,
    now: number,
  ): boolean {
    if (how === "done") {
      this.recordSound(worker);
      return false;
    }
    if (how !== "failed") {
      return false;
    }
    if (this.#failsOnOtherWorkers(worker, job, now)) {
      return false;
    }
    const record = this.#recordOf(worker, now);
    record.failedJobs.add(job);
    record.lastFailureAt = now;
    // After a pause, a single failure suffices.
    const needed = record.pause === undefined ? MIN_FAILED_JOBS : 1;
    return record.failedJobs.size >= needed &&
      this.#pause(record, "failures", now);
  }

  /** Records that a task is done on a worker, or that a long-running one has become ready there. */
  recordSound(worker: string): void {
    this.#records.delete(worker);
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
      wasCause && record.pausedForJobs.size === 0 &&
      now < (record.pause?.until ?? -Infinity)
    ) {
      this.#records.delete(worker);
    }
  }

  /** Records that no run on a worker progresses; returns whether this pauses the worker. */
  recordStall(worker: string, now: number): boolean {
    return this.isTrusted(worker, now) &&
      this.#pause(this.#recordOf(worker, now), "stall", now);
  }

  /** Deletes the record of a worker that was removed. */
  remove(worker: string): void {
    this.#records.delete(worker);
  }

  /** The record of a worker; a new one if the failures of the old one are forgotten. */
  #recordOf(worker: string, now: number): FailureRecord {
    let record = this.#records.get(worker);
    if (record === undefined || isForgotten(record, now)) {
      record = {
        failedJobs: new Set(),
        pausedForJobs: new Set(),
        pause: undefined,
        nextPauseMs: FIRST_PAUSE_MS,
        lastFailureAt: now,
      };
      this.#records.set(worker, record);
    }
    return record;
  }

  #pause(record: FailureRecord, cause: PauseCause, now: number): boolean {
    record.pausedForJobs = record.failedJobs;
    record.failedJobs = new Set();
    record.pause = {
      cause,
      until: now + record.nextPauseMs,
      retryAt: now + Math.min(record.nextPauseMs, MAX_RETRY_PAUSE_MS),
    };
    record.nextPauseMs = Math.min(MAX_PAUSE_MS, 2 * record.nextPauseMs);
    return true;
  }
}

function isForgotten(
  { lastFailureAt, pause }: FailureRecord,
  now: number,
): boolean {
  const since = Math.max(lastFailureAt, pause?.until ?? -Infinity);
  return now - since >= FORGET_AFTER_MS;
}

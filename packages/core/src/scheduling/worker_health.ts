/**
 * Which workers are to be left alone for a while, from how runs end and progress there.
 *
 * Answers the pattern of workers that report themselves healthy and fail, hang or delay what they run. Failures of one
 * job say little about a worker, because some jobs fail everywhere; failures of several jobs in a row do, unless these
 * jobs fail on other workers as well.
 *
 * @module
 */
import type { RunEnding } from "./command.ts";

/** Jobs that must fail in a row on a worker, with none of its tasks done in between. */
const FAILED_JOBS = 2;

/** First pause, in milliseconds: a few tasks; doubled with each pause that did not help. */
const FIRST_PAUSE_MS = 2_000;
const LONGEST_PAUSE_MS = 16_000;

/** Failed jobs that are remembered; the oldest are forgotten first. */
const MAX_FAILED_JOBS = 4_096;

interface Record {
  /** Jobs that failed in a row. */
  failedJobs: Set<string>;
  /** Jobs for which it is paused. */
  blamedFor: Set<string>;
  pausedUntil: number;
  pauseMs: number;
}

export class WorkerHealth {
  readonly #records = new Map<string, Record>();
  /** Worker on which each job failed first; undefined once it failed on another. */
  readonly #failedFirstOn = new Map<string, string | undefined>();

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
    if (this.#failsEverywhere(worker, job, now)) {
      return false;
    }
    const record = this.#record(worker);
    record.failedJobs.add(job);
    // After a pause, the first failure is enough.
    const needed = record.pausedUntil > 0 ? 1 : FAILED_JOBS;
    return record.failedJobs.size >= needed && this.#pause(record, now);
  }

  /** Whether a job failed on several workers; then the first one is no longer blamed for it. */
  #failsEverywhere(worker: string, job: string, now: number): boolean {
    const isKnown = this.#failedFirstOn.has(job);
    const first = this.#failedFirstOn.get(job);
    if (!isKnown) {
      this.#remember(job, worker);
      return false;
    }
    if (first === worker) {
      return false;
    }
    if (first !== undefined) {
      this.#failedFirstOn.set(job, undefined);
      this.#exonerate(first, job, now);
    }
    return true;
  }

  #remember(job: string, worker: string): void {
    this.#failedFirstOn.set(job, worker);
    const [oldest] = this.#failedFirstOn.keys();
    if (this.#failedFirstOn.size > MAX_FAILED_JOBS && oldest !== undefined) {
      this.#failedFirstOn.delete(oldest);
    }
  }

  #exonerate(worker: string, job: string, now: number): void {
    const record = this.#records.get(worker);
    record?.failedJobs.delete(job);
    const wasBlamed = record?.blamedFor.delete(job) === true;
    if (wasBlamed && record.blamedFor.size === 0 && now < record.pausedUntil) {
      this.#records.delete(worker);
    }
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
        blamedFor: new Set(),
        pausedUntil: 0,
        pauseMs: FIRST_PAUSE_MS,
      };
      this.#records.set(worker, record);
    }
    return record;
  }

  #pause(record: Record, now: number): boolean {
    record.blamedFor = record.failedJobs;
    record.failedJobs = new Set();
    record.pausedUntil = now + record.pauseMs;
    record.pauseMs = Math.min(LONGEST_PAUSE_MS, 2 * record.pauseMs);
    return true;
  }
}

/**
 * Expected ends of runs, from their starts and the estimates of task durations.
 *
 * @module
 */
import {
  reservation,
  type Resources,
  type StepSpec,
} from "../model/batch_job.ts";
import type { JobRecord, RunRecord } from "../model/job_record.ts";
import type { JobStore } from "../store/job_store.ts";
import type { WorkEstimate } from "../order/work_estimate.ts";

/**
 * Expected duration of an overrunning run as a multiple of the time that it has run. The later a run is, the larger was
 * the error of its estimate, and the more time is likely left.
 */
const OVERRUN_FACTOR = 1.5;

/** A step of a job, as far as the duration of its tasks depends on it. */
export interface TimedStep {
  job: Pick<JobRecord, "queue">;
  spec: StepSpec;
}

/** The step of a run; undefined if the job store no longer has it. */
export function timedStepOf(
  jobStore: JobStore,
  run: Pick<RunRecord, "job" | "step">,
): TimedStep | undefined {
  const job = jobStore.jobs.get(run.job);
  const spec = jobStore.stepOf(run);
  return job === undefined || spec === undefined ? undefined : { job, spec };
}

/** The expected end of a run and the resources that it frees. */
export interface ExpectedEnd {
  /** Infinity for a long-running task. */
  at: number;
  demand: Resources;
}

/**
 * Monotonic times at which the runs of one leadership term started.
 *
 * A run counts as started when its placement is committed. The starts of runs that an earlier leader placed are
 * unknown; they count from the start of the term, so their ends are expected too late by at most one task.
 */
export class RunStarts {
  readonly #termStartedAt: number;
  /** Keyed by the record in the job store, so that ended runs need no removal. */
  readonly #runs = new WeakMap<RunRecord, TimedRun>();

  constructor(termStartedAt: number) {
    this.#termStartedAt = termStartedAt;
  }

  /** Records a run that was placed now. */
  record(run: RunRecord, step: TimedStep, now: number): void {
    this.#runs.set(run, { step, startedAt: now });
  }

  /** The runs with their steps and starts. `stepOf` is asked once for each run of an earlier leader. */
  of(
    runs: Iterable<RunRecord>,
    stepOf: (run: RunRecord) => TimedStep | undefined,
  ): TimedRun[] {
    const timed: TimedRun[] = [];
    for (const run of runs) {
      const known = this.#runs.get(run) ?? this.#addEarlier(run, stepOf(run));
      if (known !== undefined) {
        timed.push(known);
      }
    }
    return timed;
  }

  #addEarlier(
    run: RunRecord,
    step: TimedStep | undefined,
  ): TimedRun | undefined {
    if (step === undefined) {
      return undefined;
    }
    const timed = { step, startedAt: this.#termStartedAt };
    this.#runs.set(run, timed);
    return timed;
  }
}

/** Durations of tasks on the workers with given labels. */
export class TaskDurations {
  readonly #estimate: WorkEstimate;
  readonly #remoteFactor: number;

  /** `remoteFactor` is the factor by which a task takes longer away from the rack of its data. */
  constructor(estimate: WorkEstimate, remoteFactor: number) {
    this.#estimate = estimate;
    this.#remoteFactor = remoteFactor;
  }

  /** Expected duration on the rack of the data, in milliseconds; Infinity for a long-running task. */
  nearMs({ job, spec }: TimedStep): number {
    return spec.lasting
      ? Infinity
      : this.#estimate.taskMs(job.queue, spec.estimatedMs);
  }

  /** Expected duration on a worker, in milliseconds; Infinity for a long-running task. */
  expectedMs(step: TimedStep, labels: readonly string[]): number {
    const { dataRack } = step.spec;
    const isFar = dataRack !== "" && !labels.includes(dataRack);
    return this.nearMs(step) * (isFar ? this.#remoteFactor : 1);
  }

  /** Expected durations on the rack of the data and elsewhere. */
  range(step: TimedStep): { shortestMs: number; longestMs: number } {
    const shortestMs = this.nearMs(step);
    const isFar = step.spec.dataRack !== "";
    const longestMs = shortestMs * (isFar ? this.#remoteFactor : 1);
    return { shortestMs, longestMs };
  }

  /** Additional time that a task takes away from the rack of its data, in milliseconds. */
  remoteCostMs(step: TimedStep): number {
    return this.nearMs(step) * (this.#remoteFactor - 1);
  }
}

/** Expected end of a run that started at `startedAt`; re-estimated once the run has taken longer than expected. */
export function expectedEnd(
  startedAt: number,
  expectedMs: number,
  now: number,
): number {
  const elapsedMs = Math.max(0, now - startedAt);
  return elapsedMs < expectedMs
    ? startedAt + expectedMs
    : startedAt + Math.max(elapsedMs + 1, OVERRUN_FACTOR * elapsedMs);
}

/** A run on a worker, with its step. */
export interface TimedRun {
  step: TimedStep;
  startedAt: number;
}

/** Expected ends of the runs on a worker with the given labels. */
export function expectedEnds(
  runs: Iterable<TimedRun>,
  labels: readonly string[],
  durations: TaskDurations,
  now: number,
): ExpectedEnd[] {
  return Array.from(runs, ({ step, startedAt }) => ({
    at: expectedEnd(startedAt, durations.expectedMs(step, labels), now),
    demand: reservation(step.spec),
  }));
}

/**
 * Detects runs on one worker that make no progress, or far less than expected.
 *
 * @module
 */
import { evictOldest } from "@quetzalcove/core";
import {
  type Expectation,
  type JobStore,
  type ListedRun,
  parseTaskName,
  ProgressWatch,
  type RunRecord,
  type WorkEstimate,
} from "@quetzalcove/core/scheduling";

/** A run that makes too little progress, and its percentage done. */
export interface StuckRun {
  run: RunRecord;
  percent: number;
}

/** Factor by which a task may take longer on this worker after each of its runs that was stopped here as too slow. */
const PATIENCE_FACTOR = 2;

/** Maximum number of tasks whose stops are kept; the oldest are evicted first. */
const MAX_STOPPED_TASKS = 1_024;

export class StragglerDetector {
  readonly #progress = new ProgressWatch();
  readonly #estimate: WorkEstimate;
  /**
   * Times that each task was stopped here. Where its pool has no better worker, a task that is longer than expected would
   * otherwise be started and stopped here for ever.
   */
  readonly #stops = new Map<string, number>();

  constructor(estimate: WorkEstimate) {
    this.#estimate = estimate;
  }

  /** Records the progress that a worker lists; returns the runs that should be stopped and run elsewhere. */
  detect(
    worker: string,
    running: readonly ListedRun[],
    jobStore: JobStore,
    now: number,
  ): StuckRun[] {
    const { stalled, slow } = this.#progress.observe(
      running,
      ({ task }) =>
        this.#expectationOf(jobStore.load(worker).runs.get(task), jobStore),
      now,
    );
    // One slow job may just have a wrong estimate; slow runs of several jobs indicate a slow worker.
    const jobs = new Set(slow.map(({ task }) => parseTaskName(task)?.job));
    const stuck = jobs.size > 1 ? [...stalled, ...slow] : stalled;
    stuck.forEach(({ task }) => this.#recordStop(task));
    return stuck.flatMap(({ task, run: number, percent }) => {
      const run = jobStore.findRun({ task, run: number, worker });
      return run === undefined ? [] : [{ run, percent }];
    });
  }

  #recordStop(task: string): void {
    const stops = (this.#stops.get(task) ?? 0) + 1;
    this.#stops.delete(task);
    this.#stops.set(task, stops);
    evictOldest(this.#stops, MAX_STOPPED_TASKS);
  }

  #expectationOf(
    run: RunRecord | undefined,
    jobStore: JobStore,
  ): Expectation | undefined {
    const job = run && jobStore.jobs.get(run.job);
    const spec = run && jobStore.stepOf(run);
    if (
      run === undefined || job === undefined || spec === undefined ||
      spec.lasting || spec.fills || spec.gang
    ) {
      return undefined;
    }
    return {
      expectedMs: this.#estimate.taskMs(job.queue, spec.estimatedMs) *
        PATIENCE_FACTOR ** (this.#stops.get(run.task) ?? 0),
      resumes: jobStore.checkpointOf(run) !== "",
    };
  }
}

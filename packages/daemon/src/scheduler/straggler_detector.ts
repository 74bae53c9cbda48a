/**
 * Finds runs on one worker that stand still or crawl.
 *
 * @module
 */
import {
  type Expectation,
  type JobBook,
  type ListedRun,
  parseTaskName,
  ProgressWatch,
  type RunRecord,
  type WorkEstimate,
} from "@quetzalcove/core/scheduling";

/** A run that needs attention, and how far it is. */
export interface StuckRun {
  run: RunRecord;
  percent: number;
}

export class StragglerDetector {
  readonly #progress = new ProgressWatch();
  readonly #estimate: WorkEstimate;

  constructor(estimate: WorkEstimate) {
    this.#estimate = estimate;
  }

  /** Notes what a worker lists as running; returns the runs that had better run elsewhere. */
  detect(
    worker: string,
    running: readonly ListedRun[],
    jobStore: JobBook,
    now: number,
  ): StuckRun[] {
    const { still, crawling } = this.#progress.note(
      running,
      (row) => this.#expectationOf(row, jobStore),
      now,
    );
    // Guesses of one job may be wrong; those of several are not wrong together.
    const jobs = new Set(crawling.map(({ task }) => parseTaskName(task)?.job));
    const stuck = jobs.size > 1 ? [...still, ...crawling] : still;
    return stuck.flatMap(({ task, run: number, percent }) => {
      const run = jobStore.findRun({ task, run: number, worker });
      return run === undefined ? [] : [{ run, percent }];
    });
  }

  #expectationOf(
    { task }: ListedRun,
    jobStore: JobBook,
  ): Expectation | undefined {
    const place = parseTaskName(task);
    const job = place && jobStore.jobs.get(place.job);
    const spec = place && jobStore.stepOf(place);
    if (
      place === undefined || job === undefined || spec === undefined ||
      spec.lasting || spec.fills || spec.gang
    ) {
      return undefined;
    }
    return {
      expectedMs: this.#estimate.taskMs(job.queue, spec.estimatedMs),
      resumes: (jobStore.taskOf(place)?.checkpoint ?? "") !== "",
    };
  }
}

/**
 * How long the runs on one worker are known to have run, on the worker's clock.
 *
 * @module
 */
import type { ListedRun } from "./listing.ts";

interface Start {
  run: number;
  /** Worker's clock at the answer to the start, or at the first listing that shows the run, in milliseconds. */
  clockMs: number;
}

export class RunSurvival {
  readonly #starts = new Map<string, Start>();
  /** Latest time on the worker's clock in any answer, in milliseconds. */
  #latestClockMs = -Infinity;

  /** Records that the worker answered when its clock showed `clockMs`. */
  recordAnswer(clockMs: number): void {
    this.#latestClockMs = Math.max(this.#latestClockMs, clockMs);
  }

  /** Records that a worker whose clock shows `clockMs` has a run. */
  recordStart(task: string, run: number, clockMs: number): void {
    this.recordAnswer(clockMs);
    if (this.#starts.get(task)?.run !== run) {
      this.#starts.set(task, { run, clockMs });
    }
  }

  /** Records the runs that the worker listed when its clock showed `clockMs`. */
  recordListing(running: readonly ListedRun[], clockMs: number): void {
    running.forEach(({ task, run }) => this.recordStart(task, run, clockMs));
    this.recordAnswer(clockMs);
  }

  /**
   * Time from the confirmed start of a run to the latest answer of its worker, in milliseconds; undefined if the start
   * is not confirmed.
   */
  survivedMs(task: string, run: number): number | undefined {
    const start = this.#starts.get(task);
    return start?.run === run ? this.#latestClockMs - start.clockMs : undefined;
  }

  /** Deletes the runs that are not held any more. */
  retain(isHeld: (task: string, run: number) => boolean): void {
    for (const [task, { run }] of this.#starts) {
      if (!isHeld(task, run)) {
        this.#starts.delete(task);
      }
    }
  }
}

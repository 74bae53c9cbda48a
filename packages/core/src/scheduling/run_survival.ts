/**
 * How long the runs on one worker are known to have run, on the worker's clock.
 *
 * @module
 */
import type { ListedRun } from "./worker_orders.ts";

interface Survival {
  run: number;
  /** Worker's clock at the answer to the start, or at the first listing that shows the run. */
  since: number | undefined;
  survivedMs: number;
}

export class RunSurvival {
  readonly #runs = new Map<string, Survival>();

  /** Records that the worker started a run; `clockMs` is the worker's clock, if the answer had it. */
  recordStart(task: string, run: number, clockMs: number | undefined): void {
    if (this.#runs.get(task)?.run !== run) {
      this.#runs.set(task, { run, since: clockMs, survivedMs: 0 });
    }
  }

  /** Records the runs that the worker listed when its clock showed `clockMs`. */
  recordListing(running: readonly ListedRun[], clockMs: number): void {
    for (const { task, run } of running) {
      this.recordStart(task, run, clockMs);
      const survival = this.#runs.get(task);
      if (survival !== undefined) {
        survival.since ??= clockMs;
        survival.survivedMs = Math.max(
          survival.survivedMs,
          clockMs - survival.since,
        );
      }
    }
  }

  /** Time that a run is known to have run, in milliseconds; undefined if the worker has not confirmed its start. */
  survivedMs(task: string, run: number): number | undefined {
    const survival = this.#runs.get(task);
    return survival?.run === run ? survival.survivedMs : undefined;
  }

  /** Deletes the runs that are not held any more. */
  retain(isHeld: (task: string, run: number) => boolean): void {
    for (const [task, { run }] of this.#runs) {
      if (!isHeld(task, run)) {
        this.#runs.delete(task);
      }
    }
  }
}

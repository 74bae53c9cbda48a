/**
 * Detection of stalled and slow runs from the progress that a worker lists.
 *
 * On some workers tasks stall or run far too slowly although the workers look healthy otherwise.
 *
 * @module
 */
import type { ListedRun } from "./listing.ts";

/** Time without progress after which a run is stalled; several increments of the listed percentage. */
const STALL_MS = 700;

/** The same for a run that resumes from a checkpoint, which must first be restored. */
const RESUMING_STALL_MS = 2_000;

/** Share of the expected duration that a long task may spend without progress; three listed percent. */
const STALL_SHARE = 0.03;

/** Share of the expected progress below which a run is slow; guessed durations may be off by a factor of two. */
const SLOW_SHARE = 0.3;

/** Progress from which on a slow run is left to end. */
const NEARLY_DONE_PERCENT = 50;

/** Expectations on a listed run. */
export interface Expectation {
  /** Expected duration. */
  expectedMs: number;
  /** Whether it resumes from a checkpoint. */
  resumes: boolean;
}

interface Observation {
  run: number;
  percent: number;
  /** Time at which `percent` last rose. */
  lastProgressAt: number;
  firstAt: number;
  firstPercent: number;
}

/** Runs that make no progress, and runs that progress far more slowly than expected. */
export interface Stragglers {
  stalled: ListedRun[];
  slow: ListedRun[];
}

export class ProgressWatch {
  readonly #observations = new Map<string, Observation>();

  /**
   * Processes a listing of the worker's runs. `expect` returns undefined for runs that are not watched; it is asked only
   * once a run has been listed for so long that it may be stalled.
   */
  observe(
    running: readonly ListedRun[],
    expect: (run: ListedRun) => Expectation | undefined,
    now: number,
  ): Stragglers {
    const listed = new Set(running.map(({ task }) => task));
    for (const task of this.#observations.keys()) {
      if (!listed.has(task)) {
        this.#observations.delete(task);
      }
    }
    const stragglers: Stragglers = { stalled: [], slow: [] };
    for (const run of running) {
      const known = this.#record(run, now);
      const expectation = now - known.firstAt > STALL_MS
        ? expect(run)
        : undefined;
      if (expectation !== undefined) {
        judge(run, known, expectation, now, stragglers);
      }
    }
    return stragglers;
  }

  /** Records the progress of a listed run, and returns what is known of it. */
  #record({ task, run, percent }: ListedRun, now: number): Observation {
    const known = this.#observations.get(task);
    if (known?.run !== run) {
      const first = {
        run,
        percent,
        lastProgressAt: now,
        firstAt: now,
        firstPercent: percent,
      };
      this.#observations.set(task, first);
      return first;
    }
    if (percent > known.percent) {
      known.percent = percent;
      known.lastProgressAt = now;
    }
    return known;
  }
}

/** Adds a run to the stragglers if it makes no or too little progress. */
function judge(
  listed: ListedRun,
  known: Observation,
  { expectedMs, resumes }: Expectation,
  now: number,
  { stalled, slow }: Stragglers,
): void {
  const { percent } = listed;
  const stallMs = Math.max(
    resumes ? RESUMING_STALL_MS : STALL_MS,
    STALL_SHARE * expectedMs,
  );
  const watchedMs = now - known.firstAt;
  const expectedPercent = 100 * watchedMs / expectedMs;
  if (now - known.lastProgressAt > stallMs) {
    stalled.push(listed);
  } else if (
    watchedMs > Math.max(stallMs, expectedMs) &&
    percent < NEARLY_DONE_PERCENT &&
    percent - known.firstPercent < SLOW_SHARE * expectedPercent
  ) {
    slow.push(listed);
  }
}

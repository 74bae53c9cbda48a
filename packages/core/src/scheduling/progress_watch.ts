/**
 * Runs that do not progress as they should.
 *
 * Answers the pattern of workers on which tasks stand still or crawl while everything else about them looks well.
 *
 * @module
 */
import type { ListedRun } from "./worker_orders.ts";

/** Time without progress after which a run stands still, in milliseconds: several steps of the listed percent. */
const STILL_MS = 700;

/** The same for a run that resumes from a checkpoint: it is restored first. */
const RESUMING_STILL_MS = 2_000;

/** Share of the expected duration that may pass without progress, for long tasks: three listed percent. */
const STILL_SHARE = 0.03;

/** Share of the expected progress below which a run crawls; guesses are off by a factor of two now and then. */
const CRAWL_SHARE = 0.3;

/** Progress from which on a run is left to end, in percent. */
const NEARLY_DONE_PERCENT = 50;

/** What is known about a listed run. */
export interface Expectation {
  expectedMs: number;
  resumes: boolean;
}

interface Observation {
  run: number;
  percent: number;
  /** When the percent last rose. */
  risenAt: number;
  firstAt: number;
  firstPercent: number;
}

/** Runs that need attention. */
export interface Stragglers {
  still: ListedRun[];
  crawling: ListedRun[];
}

export class ProgressWatch {
  readonly #observations = new Map<string, Observation>();

  /** Notes a listing of one worker. `expect` returns undefined for runs that are not watched. */
  note(
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
    const stragglers: Stragglers = { still: [], crawling: [] };
    for (const run of running) {
      const expectation = expect(run);
      if (expectation !== undefined) {
        this.#watch(run, expectation, now, stragglers);
      }
    }
    return stragglers;
  }

  #watch(
    listed: ListedRun,
    { expectedMs, resumes }: Expectation,
    now: number,
    { still, crawling }: Stragglers,
  ): void {
    const { task, run, percent } = listed;
    const known = this.#observations.get(task);
    if (known === undefined || known.run !== run) {
      this.#observations.set(task, {
        run,
        percent,
        risenAt: now,
        firstAt: now,
        firstPercent: percent,
      });
      return;
    }
    if (percent > known.percent) {
      known.percent = percent;
      known.risenAt = now;
    }
    const patienceMs = Math.max(
      resumes ? RESUMING_STILL_MS : STILL_MS,
      STILL_SHARE * expectedMs,
    );
    const watchedMs = now - known.firstAt;
    const expectedPercent = 100 * watchedMs / expectedMs;
    if (now - known.risenAt > patienceMs) {
      still.push(listed);
    } else if (
      watchedMs > Math.max(patienceMs, expectedMs) &&
      percent < NEARLY_DONE_PERCENT &&
      percent - known.firstPercent < CRAWL_SHARE * expectedPercent
    ) {
      crawling.push(listed);
    }
  }
}

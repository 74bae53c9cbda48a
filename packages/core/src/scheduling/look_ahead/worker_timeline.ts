/**
 * Free resources of a worker over time, by the expected ends of its runs.
 *
 * @module
 */
import type { Resources } from "../model/batch_job.ts";
import { addInPlace, covers } from "../model/resource_sum.ts";
import type { ExpectedEnd } from "./run_ends.ts";

export class WorkerTimeline {
  readonly #now: number;
  /** Free resources at present; negative where claims exceed them. */
  readonly #free: Resources;
  readonly #ends: ExpectedEnd[];

  constructor(free: Resources, ends: readonly ExpectedEnd[], now: number) {
    this.#now = now;
    this.#free = { ...free };
    this.#ends = [...ends].sort((a, b) => a.at - b.at);
  }

  /** Times at which resources become free, the present first; without those of long-running tasks. */
  times(): number[] {
    const ends = this.#ends.filter(({ at }) => at < Infinity);
    return [this.#now, ...ends.map(({ at }) => at)];
  }

  /** Free resources at a time, without the runs that are expected to have ended by then. */
  freeAt(time: number): Resources {
    const free = { ...this.#free };
    for (const { at, demand } of this.#ends) {
      if (at > time || at === Infinity) {
        break;
      }
      addInPlace(free, demand);
    }
    return free;
  }

  /** Earliest time at which a demand fits; Infinity if it never does. */
  earliestFit(demand: Resources): number {
    const free = { ...this.#free };
    if (covers(free, demand)) {
      return this.#now;
    }
    for (const { at, demand: freed } of this.#ends) {
      if (at === Infinity) {
        break;
      }
      addInPlace(free, freed);
      if (covers(free, demand)) {
        return at;
      }
    }
    return Infinity;
  }

  /** Sets resources aside for a task that waits for them. */
  claim(demand: Resources): void {
    addInPlace(this.#free, demand, -1);
  }

  /** Adds a run that starts now. */
  addRun(end: ExpectedEnd): void {
    addInPlace(this.#free, end.demand, -1);
    const later = this.#ends.findIndex(({ at }) => at > end.at);
    this.#ends.splice(later === -1 ? this.#ends.length : later, 0, end);
  }
}

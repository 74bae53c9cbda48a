/**
 * Rates at which the work of pools and of their customers is started.
 *
 * @module
 */
import { evictUntil } from "../../eviction.ts";
import type { Resources } from "../model/batch_job.ts";
import { addInPlace, NO_RESOURCES, scale } from "../model/resource_sum.ts";

/** Window over which rates are measured. */
const WINDOW_MS = 2_000;

/** Shortest time over which a rate is measured; covers the starts of some passes. */
const MIN_SPAN_MS = 500;

interface Start {
  at: number;
  work: Resources;
  customer: string | undefined;
}

export class StartRates {
  /** Starts within the window, oldest first, by pool. */
  readonly #starts = new Map<string, Start[]>();

  /** Records that work was started; `work` is resources times expected duration. */
  record(
    pool: string,
    customer: string | undefined,
    work: Resources,
    now: number,
  ): void {
    const starts = this.#recent(pool, now);
    starts.push({ at: now, work, customer });
    this.#starts.set(pool, starts);
  }

  /**
   * Work of a pool, or of one customer, started per millisecond within the window and since the given time; undefined
   * while that is too recent to measure a rate.
   */
  since(
    time: number,
    pool: string,
    now: number,
    ofCustomer?: string,
  ): Resources | undefined {
    const from = Math.max(time, now - WINDOW_MS);
    const spanMs = now - from;
    if (spanMs < MIN_SPAN_MS) {
      return undefined;
    }
    const started = { ...NO_RESOURCES };
    for (const { at, work, customer } of this.#recent(pool, now)) {
      if (
        at >= from && (ofCustomer === undefined || customer === ofCustomer)
      ) {
        addInPlace(started, work);
      }
    }
    return scale(started, 1 / spanMs);
  }

  #recent(pool: string, now: number): Start[] {
    const starts = this.#starts.get(pool) ?? [];
    evictUntil(starts, ({ at }) => now - at < WINDOW_MS);
    return starts;
  }
}

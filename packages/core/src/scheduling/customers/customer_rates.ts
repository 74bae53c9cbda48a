/**
 * Submissions of each customer that were accepted within the last seconds.
 *
 * @module
 */
import { evictUntil } from "../../eviction.ts";

/** Length of the window; covers several submissions of a customer with a small weight. */
export const RATE_WINDOW_MS = 2_000;

/**
 * Exact sliding windows: a burst counts the same whenever it begins. Counts in fixed intervals would let a customer
 * submit twice its allowance around the boundary of two intervals.
 */
export class CustomerRates {
  /** Times of accepted submissions, oldest first, by customer. */
  readonly #times = new Map<string, number[]>();

  record(customer: string, now: number): void {
    const recent = this.#recent(customer, now);
    recent.push(now);
    this.#times.set(customer, recent);
  }

  /** Number of accepted submissions within the window that ends now. */
  count(customer: string, now: number): number {
    return this.#recent(customer, now).length;
  }

  /** Times within the window. */
  #recent(customer: string, now: number): number[] {
    const times = this.#times.get(customer) ?? [];
    evictUntil(times, (at) => now - at < RATE_WINDOW_MS);
    if (times.length === 0) {
      this.#times.delete(customer);
    }
    return times;
  }
}

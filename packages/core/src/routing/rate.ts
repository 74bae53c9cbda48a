/**
 * A decaying measure of a rate.
 *
 * @module
 */

/** An exponentially weighted rate of events. */
export class Rate {
  #perMs = 0;
  #at = 0;
  readonly #timeConstantMs: number;

  constructor(timeConstantMs: number) {
    this.#timeConstantMs = timeConstantMs;
  }

  /** Records one event. */
  add(now: number): void {
    this.#perMs = this.perMs(now) + 1 / this.#timeConstantMs;
    this.#at = now;
  }

  /** Events for each millisecond. */
  perMs(now: number): number {
    const passed = Math.max(0, now - this.#at);
    return this.#perMs * Math.exp(-passed / this.#timeConstantMs);
  }
}

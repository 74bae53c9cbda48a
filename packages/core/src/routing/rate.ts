/**
 * A decaying measure of a rate.
 *
 * @module
 */

/** Time that the first event counts for. */
const FIRST_MS = 250;

/** An exponentially weighted rate of events, corrected for the time before the first one. */
export class Rate {
  #sum = 0;
  #at = 0;
  #startedAt: number | undefined;
  readonly #timeConstantMs: number;

  constructor(timeConstantMs: number) {
    this.#timeConstantMs = timeConstantMs;
  }

  /** Records one event. */
  add(now: number): void {
    this.#startedAt ??= now;
    this.#sum = this.#faded(now) + 1;
    this.#at = now;
  }

  /** Events for each millisecond. */
  perMs(now: number): number {
    const seenMs = now - (this.#startedAt ?? now) + FIRST_MS;
    const weight = 1 - Math.exp(-seenMs / this.#timeConstantMs);
    return this.#faded(now) / (this.#timeConstantMs * weight);
  }

  #faded(now: number): number {
    const passedMs = Math.max(0, now - this.#at);
    return this.#sum * Math.exp(-passedMs / this.#timeConstantMs);
  }
}

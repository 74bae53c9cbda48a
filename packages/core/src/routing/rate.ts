/**
 * A decaying measure of a rate.
 *
 * @module
 */

/** Time that the first event counts for. */
const FIRST_EVENT_MS = 250;

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
    this.#sum = this.#decayedSum(now) + 1;
    this.#at = now;
  }

  /** Events for each millisecond. */
  perMs(now: number): number {
    const observedMs = now - (this.#startedAt ?? now) + FIRST_EVENT_MS;
    const weight = 1 - Math.exp(-observedMs / this.#timeConstantMs);
    return this.#decayedSum(now) / (this.#timeConstantMs * weight);
  }

  #decayedSum(now: number): number {
    const elapsedMs = Math.max(0, now - this.#at);
    return this.#sum * Math.exp(-elapsedMs / this.#timeConstantMs);
  }
}

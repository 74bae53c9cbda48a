/**
 * Exponentially weighted rate of events.
 *
 * @module
 */

/** Observation time assumed before the first event, so that it does not count as an infinite rate. */
const FIRST_EVENT_MS = 250;

/** Rate of events, corrected for the bias of a short observation time. */
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

  /** Events per millisecond. */
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

/**
 * Decaying measures of a level and of a rate.
 *
 * @module
 */

/** A decaying maximum of a level, for example of concurrent requests. */
export class Peak {
  #value = 0;
  #at = 0;
  readonly #halfLifeMs: number;

  constructor(halfLifeMs: number) {
    this.#halfLifeMs = halfLifeMs;
  }

  /** Records the present level. */
  observe(level: number, now: number): void {
    this.#value = Math.max(level, this.value(now));
    this.#at = now;
  }

  /** The highest recent level, halved with each half-life that passed since. */
  value(now: number): number {
    const halvings = Math.max(0, now - this.#at) / this.#halfLifeMs;
    return this.#value * 2 ** -halvings;
  }
}

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

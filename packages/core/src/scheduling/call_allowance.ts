/**
 * A token bucket: how many calls are allowed per second, after a burst of one second's calls.
 *
 * @module
 */
const MS_PER_S = 1_000;

export class CallAllowance {
  readonly #callsPerS: number;
  #left: number;
  #updatedAt = -Infinity;

  constructor(callsPerS: number) {
    this.#callsPerS = callsPerS;
    this.#left = callsPerS;
  }

  /** Takes one call from the allowance; returns whether there was one left. */
  take(now: number): boolean {
    const gained = (now - this.#updatedAt) / MS_PER_S * this.#callsPerS;
    this.#left = Math.min(this.#callsPerS, this.#left + Math.max(0, gained));
    this.#updatedAt = Math.max(now, this.#updatedAt);
    if (this.#left < 1) {
      return false;
    }
    this.#left -= 1;
    return true;
  }
}

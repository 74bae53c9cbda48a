/**
 * A token bucket: how many calls may be made per second, and at once after a pause.
 *
 * @module
 */
const MS_PER_S = 1_000;

export class CallAllowance {
  readonly #callsPerS: number;
  readonly #burst: number;
  #left: number;
  #updatedAt = -Infinity;

  constructor(callsPerS: number, burst: number) {
    this.#callsPerS = callsPerS;
    this.#burst = burst;
    this.#left = burst;
  }

  /** Takes one call from the allowance; returns whether there was one left. Times are in milliseconds. */
  take(now: number): boolean {
    const gained = (now - this.#updatedAt) / MS_PER_S * this.#callsPerS;
    this.#left = Math.min(this.#burst, this.#left + Math.max(0, gained));
    this.#updatedAt = Math.max(now, this.#updatedAt);
    if (this.#left < 1) {
      return false;
    }
    this.#left -= 1;
    return true;
  }
}

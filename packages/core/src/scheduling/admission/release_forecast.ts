/**
 * When memory will be free again, from how much was given back lately.
 *
 * @module
 */

/** Time over which the rate is measured. */
const WINDOW_MS = 10_000;

/** Shortest time between two samples. */
const SAMPLE_INTERVAL_MS = 500;

/** Bounds of the forecast. Without a release in the window nothing is known, so that callers are to come back late. */
const MIN_WAIT_MS = 1_000;
const MAX_WAIT_MS = 30_000;

interface Sample {
  at: number;
  freed: number;
}

export class ReleaseForecast {
  #samples: Sample[] = [];

  /** Records how many bytes have been given back in all, at a monotonic time in milliseconds. */
  record(freed: number, now: number): void {
    const last = this.#samples.at(-1);
    if (last === undefined || now - last.at >= SAMPLE_INTERVAL_MS) {
      this.#samples = this.#samples.filter(({ at }) => now - at <= WINDOW_MS);
      this.#samples.push({ at: now, freed });
    }
  }

  /** Expected time until as many more bytes are given back, in milliseconds. */
  waitMs(bytes: number, freed: number, now: number): number {
    const first = this.#samples[0];
    const elapsedMs = first === undefined ? 0 : now - first.at;
    const released = first === undefined ? 0 : freed - first.freed;
    if (elapsedMs <= 0 || released <= 0) {
      return MAX_WAIT_MS;
    }
    const waitMs = bytes * elapsedMs / released;
    return Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, waitMs));
  }
}

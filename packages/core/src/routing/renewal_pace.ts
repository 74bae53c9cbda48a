/**
 * When an entry renews its lease: at a steady interval, and early while requests wait that a grant could serve. Early
 * renewals that bring nothing back off, so that an overloaded fleet does not load its leader.
 *
 * @module
 */

/** Steady interval between renewals. */
export const RENEWAL_INTERVAL_MS = 1_000;

/** Shortest time between two renewals. */
const MIN_INTERVAL_MS = 20;

/** Share of the interval by which early renewals after vain ones are spread. */
const EARLY_INTERVAL_JITTER = 0.5;

/** The pace of one entry's renewals. */
export class RenewalPace {
  readonly #random: () => number;
  #sentAt = Number.NEGATIVE_INFINITY;
  #earlyIntervalMs = MIN_INTERVAL_MS;
  #wasEarly = false;

  constructor(random: () => number) {
    this.#random = random;
  }

  /** When the next renewal is due; `short` is what the router says about waiting requests. */
  dueAt(short: boolean): number {
    const intervalMs = short
      ? Math.min(RENEWAL_INTERVAL_MS, this.#earlyIntervalMs)
      : RENEWAL_INTERVAL_MS;
    return this.#sentAt + intervalMs;
  }

  /** Records that a renewal was sent. */
  sent(short: boolean, now: number): void {
    this.#sentAt = now;
    this.#wasEarly = short;
  }

  /** Records that a renewal was answered, and whether requests still wait. */
  answered(short: boolean): void {
    if (!short) {
      this.#earlyIntervalMs = MIN_INTERVAL_MS;
    } else if (this.#wasEarly) {
      const spread = 1 + EARLY_INTERVAL_JITTER * this.#random();
      this.#earlyIntervalMs = Math.min(
        RENEWAL_INTERVAL_MS,
        2 * this.#earlyIntervalMs * spread,
      );
    }
  }
}

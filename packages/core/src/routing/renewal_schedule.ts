/**
 * Schedule of an entry's lease renewals: at a fixed interval, and earlier while requests wait for a service of which
 * the entry holds no slot. Early renewals back off while they bring no slots, so that an overloaded fleet
 * does not load its leader.
 *
 * @module
 */

/** Interval between regular renewals. */
export const RENEWAL_INTERVAL_MS = 1_000;

/** Shortest interval, used for the first early renewals. */
const MIN_INTERVAL_MS = 20;

/** Jitter of the interval of early renewals, as a share. */
const EARLY_INTERVAL_JITTER = 0.5;

/** Renewal schedule of one entry. */
export class RenewalSchedule {
  readonly #random: () => number;
  #sentAt = Number.NEGATIVE_INFINITY;
  #earlyIntervalMs = MIN_INTERVAL_MS;
  #wasEarly = false;

  constructor(random: () => number) {
    this.#random = random;
  }

  /** When the next renewal is due; `needsSlots` is the result of the router's method of that name. */
  dueAt(needsSlots: boolean): number {
    const intervalMs = needsSlots
      ? Math.min(RENEWAL_INTERVAL_MS, this.#earlyIntervalMs)
      : RENEWAL_INTERVAL_MS;
    return this.#sentAt + intervalMs;
  }

  /** Records that a renewal was sent. */
  sent(needsSlots: boolean, now: number): void {
    this.#sentAt = now;
    this.#wasEarly = needsSlots;
  }

  /** Records that a renewal was answered; an early one that left the entry short of slots doubles the interval. */
  answered(needsSlots: boolean): void {
    if (!needsSlots) {
      this.#earlyIntervalMs = MIN_INTERVAL_MS;
    } else if (this.#wasEarly) {
      const jitterFactor = 1 + EARLY_INTERVAL_JITTER * this.#random();
      this.#earlyIntervalMs = Math.min(
        RENEWAL_INTERVAL_MS,
        2 * this.#earlyIntervalMs * jitterFactor,
      );
    }
  }
}

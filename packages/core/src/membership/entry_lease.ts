/**
 * The entry's side of its lease.
 *
 * @module
 */

/** A lease that runs from the time at which its renewal was sent; times are milliseconds on the monotonic clock. */
export class EntryLease {
  #expiresAt = -Infinity;

  /** Extends the lease; the answer to an older renewal never shortens it. */
  extend(sentAt: number, durationMs: number): void {
    this.#expiresAt = Math.max(this.#expiresAt, sentAt + durationMs);
  }

  /** Ends the lease at once. */
  end(): void {
    this.#expiresAt = -Infinity;
  }

  isValid(now: number): boolean {
    return now < this.#expiresAt;
  }

  /** Time left in milliseconds; 0 when the lease has expired. */
  remainingMs(now: number): number {
    return Math.max(0, this.#expiresAt - now);
  }
}

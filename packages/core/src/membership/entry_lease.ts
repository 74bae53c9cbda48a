/**
 * The lease of an entry, as the entry sees it.
 *
 * @module
 */

/** A lease that counts from the moment its renewal was sent, on the monotonic clock. */
export class EntryLease {
  #expiresAt = -Infinity;

  /** Extends the lease. An answer to an older renewal never shortens it. */
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

  /** Time left in milliseconds; 0 when the lease has run out. */
  remainingMs(now: number): number {
    return Math.max(0, this.#expiresAt - now);
  }
}

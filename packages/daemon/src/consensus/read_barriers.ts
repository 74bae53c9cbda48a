/**
 * Reads that wait until leadership is confirmed, and the leader lease that a confirmation grants.
 *
 * After a confirmed quorum round the followers elect no other leader for an election timeout, so reads within part of
 * that time need no round of their own (Ongaro's thesis, section 6.4.1).
 *
 * @module
 */
import { Err, type Fault, Ok, type Result } from "@quetzalcove/core";

/** Simultaneous readings of both clocks of the process, in milliseconds. */
export interface ClockTimes {
  monotonic: number;
  wall: number;
}

/** A read that waits for a quorum round, which begins after the read was requested. */
interface Barrier {
  requestedAt: ClockTimes;
  settle: (result: Result<void, Fault>) => void;
}

/**
 * Difference between the progress of the two clocks that counts as a suspension of the process, during which the
 * monotonic clock stands still. A step of the wall clock is mistaken for one and only costs another round.
 */
const MAX_CLOCK_DIFFERENCE_MS = 50;

export class ReadBarriers {
  readonly #leaseMs: number;
  readonly #barriers = new Map<string, Barrier>();
  #count = 0;
  /** Monotonic time until which no other replica can be elected. */
  #leaseEndsAt = -Infinity;
  /** When the read whose round granted the lease was requested. */
  #leaseStartedAt: ClockTimes = { monotonic: 0, wall: 0 };
  #mayHoldLease = true;

  /** `leaseMs` is the duration of the lease, from the request of the read whose round grants it. */
  constructor(leaseMs: number) {
    this.#leaseMs = leaseMs;
  }

  /** Whether the lease is valid, so that leadership needs no confirmation. */
  hasLease(now: ClockTimes): boolean {
    const { monotonic, wall } = this.#leaseStartedAt;
    const difference = (now.wall - wall) - (now.monotonic - monotonic);
    return now.monotonic < this.#leaseEndsAt &&
      Math.abs(difference) < MAX_CLOCK_DIFFERENCE_MS;
  }

  /** Returns a new context, which identifies a read. */
  nextContext(): string {
    this.#count += 1;
    return String(this.#count);
  }

  add(context: string, barrier: Barrier): void {
    this.#barriers.set(context, barrier);
  }

  /** Settles a read whose round a quorum has confirmed, and extends the lease. */
  confirm(context: string): void {
    const barrier = this.#barriers.get(context);
    if (barrier === undefined) {
      return;
    }
    const leaseEndsAt = barrier.requestedAt.monotonic + this.#leaseMs;
    if (this.#mayHoldLease && leaseEndsAt > this.#leaseEndsAt) {
      this.#leaseEndsAt = leaseEndsAt;
      this.#leaseStartedAt = barrier.requestedAt;
    }
    this.#settle(context, Ok.EMPTY);
  }

  /** Fails a read that this replica can no longer serve. */
  fail(context: string, cause: Fault): void {
    this.#settle(context, Err(cause));
  }

  /** Fails all reads. */
  failAll(cause: Fault): void {
    for (const context of [...this.#barriers.keys()]) {
      this.fail(context, cause);
    }
  }

  /** Ends the lease and grants none until the role changes, since the successor may be elected at any time. */
  beginTransfer(): void {
    this.#leaseEndsAt = -Infinity;
    this.#mayHoldLease = false;
  }

  /** Ends the lease after a change of role. */
  resetLease(): void {
    this.#leaseEndsAt = -Infinity;
    this.#mayHoldLease = true;
  }

  #settle(context: string, result: Result<void, Fault>): void {
    const barrier = this.#barriers.get(context);
    this.#barriers.delete(context);
    barrier?.settle(result);
  }
}

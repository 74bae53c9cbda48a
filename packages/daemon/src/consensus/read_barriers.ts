/**
 * Reads that wait for a confirmation of leadership, and the lease that a confirmation gives.
 *
 * A round that a quorum confirmed keeps followers from electing another leader for an election timeout, so reads
 * within part of that time need no round of their own (Ongaro's thesis, section 6.4.1).
 *
 * @module
 */
import { Err, type Fault, Ok, type Result } from "@quetzalcove/core";

/** Both clocks of the process at one moment, in milliseconds. */
export interface Moment {
  monotonic: number;
  wall: number;
}

/** A read that waits for a round; a confirmed round began after the read was asked for. */
interface Barrier {
  askedAt: Moment;
  settle: (result: Result<void, Fault>) => void;
}

/** Share of the shortest election timeout for which a confirmed round counts. */
const LEASE_SHARE = 0.5;

/**
 * Difference between the two clocks' progress, in milliseconds, that tells a suspension of the process: the monotonic
 * clock stands still meanwhile. A step of the wall clock looks the same and costs one more round.
 */
const SUSPENSION_MS = 50;

export class ReadBarriers {
  readonly #leaseMs: number;
  readonly #barriers = new Map<string, Barrier>();
  #count = 0;
  /** Until then, on the monotonic clock, no other replica can be elected. */
  #leasedUntil = -Infinity;
  /** When the round of the lease was asked for. */
  #leasedAt: Moment = { monotonic: 0, wall: 0 };
  #mayLease = true;

  /** `electionMinMs` is the shortest election timeout, in milliseconds. */
  constructor(electionMinMs: number) {
    this.#leaseMs = electionMinMs * LEASE_SHARE;
  }

  /** Whether leadership needs no confirmation now. */
  isLeased(now: Moment): boolean {
    const { monotonic, wall } = this.#leasedAt;
    const drift = (now.wall - wall) - (now.monotonic - monotonic);
    return now.monotonic < this.#leasedUntil && Math.abs(drift) < SUSPENSION_MS;
  }

  /** A context for a read that has none yet. */
  nextContext(): string {
    this.#count += 1;
    return String(this.#count);
  }

  add(context: string, barrier: Barrier): void {
    this.#barriers.set(context, barrier);
  }

  /** Lets a read go on whose round a quorum confirmed. */
  confirm(context: string): void {
    const barrier = this.#barriers.get(context);
    if (barrier === undefined) {
      return;
    }
    const until = barrier.askedAt.monotonic + this.#leaseMs;
    if (this.#mayLease && until > this.#leasedUntil) {
      this.#leasedUntil = until;
      this.#leasedAt = barrier.askedAt;
    }
    this.#settle(context, Ok.EMPTY);
  }

  /** Fails a read that this replica cannot serve any more. */
  lose(context: string, cause: Fault): void {
    this.#settle(context, Err(cause));
  }

  /** Fails all reads. */
  loseAll(cause: Fault): void {
    for (const context of [...this.#barriers.keys()]) {
      this.lose(context, cause);
    }
  }

  /** Ends the lease, and allows none until the role changes: a successor may be elected at any moment. */
  beginTransfer(): void {
    this.#leasedUntil = -Infinity;
    this.#mayLease = false;
  }

  /** Ends the lease because the role changed. */
  changeRole(): void {
    this.#leasedUntil = -Infinity;
    this.#mayLease = true;
  }

  #settle(context: string, result: Result<void, Fault>): void {
    const barrier = this.#barriers.get(context);
    this.#barriers.delete(context);
    barrier?.settle(result);
  }
}

/**
 * Reads that wait for a confirmation of leadership, and the lease that a confirmation gives.
 *
 * A round that a quorum confirmed keeps followers from electing another leader for an election timeout, so reads
 * within part of that time need no round of their own (Ongaro's thesis, section 6.4.1).
 *
 * @module
 */
import { Err, type Fault, Ok, type Result } from "@quetzalcove/core";

/** A read that waits for a round; a confirmed round began after the read was asked for. */
interface Barrier {
  askedAt: number;
  settle: (result: Result<void, Fault>) => void;
}

/** Share of the shortest election timeout for which a confirmed round counts. */
const LEASE_SHARE = 0.5;

export class ReadBarriers {
  readonly #leaseMs: number;
  readonly #barriers = new Map<string, Barrier>();
  #count = 0;
  /** Until then no other replica can be elected. */
  #leasedUntil = -Infinity;
  #mayLease = true;

  /** `electionMinMs` is the shortest election timeout, in milliseconds. */
  constructor(electionMinMs: number) {
    this.#leaseMs = electionMinMs * LEASE_SHARE;
  }

  /** Whether leadership needs no confirmation now. */
  isLeased(now: number): boolean {
    return now < this.#leasedUntil;
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
    if (this.#mayLease) {
      this.#leasedUntil = Math.max(
        this.#leasedUntil,
        barrier.askedAt + this.#leaseMs,
      );
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

/**
 * The lease that the leader grants to one worker, which may keep its runs until the lease deadline.
 *
 * @module
 */
import {
  type ClockReading,
  inheritedLeaseEndsBy,
  leaseDeadline,
  leaseEndsBy,
  restartedLeaseEndsBy,
} from "@quetzalcove/core/scheduling";

export class WorkerLease {
  readonly #leaseMs: number;
  #reading: ClockReading | undefined;
  /** Latest deadline granted, on the worker's clock, in milliseconds. */
  #deadline: number | undefined;
  #endsBy: number;

  /** `endsBy` is the time by which a lease has ended that was granted before. */
  constructor(leaseMs: number, endsBy: number) {
    this.#leaseMs = leaseMs;
    this.#endsBy = endsBy;
  }

  /** Assumes that an earlier leader granted a lease just before `now`, when this leadership term began. */
  static inherited(leaseMs: number, now: number): WorkerLease {
    return new WorkerLease(leaseMs, inheritedLeaseEndsBy(now, leaseMs));
  }

  /** The lease of a worker that restarted at `now` or shortly before. */
  static restarted(
    leaseMs: number,
    maxLeaseMs: number,
    now: number,
  ): WorkerLease {
    return new WorkerLease(leaseMs, restartedLeaseEndsBy(now, maxLeaseMs));
  }

  /** Monotonic time of this node by which the lease has ended for certain, in milliseconds. */
  get endsBy(): number {
    return this.#endsBy;
  }

  /** Latest deadline granted, on the worker's clock; undefined until a clock reading has arrived. */
  get deadline(): number | undefined {
    return this.#deadline;
  }

  /** Records a reading of the worker's clock. */
  recordClock(reading: ClockReading): void {
    this.#reading = reading;
  }

  /** Extends the lease for an order sent now. It counts as granted even if the order is lost. */
  extend(now: number): void {
    if (this.#reading !== undefined) {
      this.#deadline = leaseDeadline(this.#reading, now, this.#leaseMs);
      const endsBy = leaseEndsBy(this.#reading, this.#deadline);
      this.#endsBy = Math.max(this.#endsBy, endsBy);
    }
  }
}

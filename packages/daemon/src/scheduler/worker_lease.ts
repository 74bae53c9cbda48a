/**
 * The lease that a leader gives to one worker.
 *
 * @module
 */
import {
  type ClockReading,
  inheritedLeaseEndsBy,
  leaseDeadline,
  leaseEndsBy,
} from "@quetzalcove/core/scheduling";

export class WorkerLease {
  readonly #leaseMs: number;
  #reading: ClockReading | undefined;
  /** The latest deadline that the worker was given, on its clock. */
  #deadline: number | undefined;
  #endsBy: number;

  /** An earlier leader may have given a lease until the moment at which this one began. */
  constructor(leaseMs: number, now: number) {
    this.#leaseMs = leaseMs;
    this.#endsBy = inheritedLeaseEndsBy(now, leaseMs);
  }

  /** Own monotonic time by which the lease has surely ended. */
  get endsBy(): number {
    return this.#endsBy;
  }

  /** The latest deadline on the worker's clock; undefined until that clock is known. */
  get deadline(): number | undefined {
    return this.#deadline;
  }

  /** Notes a reading of the worker's clock. */
  recordClock(reading: ClockReading): void {
    this.#reading = reading;
  }

  /** Extends the lease for an order that leaves now, which may or may not arrive. */
  extend(now: number): void {
    if (this.#reading !== undefined) {
      this.#deadline = leaseDeadline(this.#reading, now, this.#leaseMs);
      const endsBy = leaseEndsBy(this.#reading, this.#deadline);
      this.#endsBy = Math.max(this.#endsBy, endsBy);
    }
  }
}

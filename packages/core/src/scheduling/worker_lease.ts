/**
 * Leases of workers on what they run, measured on their own clocks.
 *
 * A worker kills everything when its clock reaches the deadline that it was last given. The scheduler gives deadlines
 * from the worker's latest clock reading, and knows when the worker must have reached them.
 *
 * @module
 */

/** A reading of a worker's clock. */
export interface ClockReading {
  /** Time on the worker's clock, in milliseconds. */
  workerMs: number;
  /** Own monotonic time when the reading arrived; the clock was read before that. */
  receivedAt: number;
}

/** Slowest rate of a worker's clock against true time, from the platform's contract. */
export const SLOWEST_CLOCK_RATE = 0.98;

/** The deadline on a worker's clock for a lease that starts now, in whole milliseconds. */
export function leaseDeadline(
  { workerMs, receivedAt }: ClockReading,
  now: number,
  leaseMs: number,
): number {
  return Math.floor(workerMs + (now - receivedAt) + leaseMs);
}

/** Own monotonic time by which a worker's clock has surely reached a deadline. */
export function leaseEndsBy(
  { workerMs, receivedAt }: ClockReading,
  deadlineMs: number,
): number {
  return receivedAt +
    Math.max(0, deadlineMs - workerMs) / SLOWEST_CLOCK_RATE;
}

/** When leases that an earlier leader gave have surely ended, if its authority ended by a given time. */
export function inheritedLeaseEndsBy(
  authorityEndedAt: number,
  leaseMs: number,
): number {
  return authorityEndedAt + leaseMs / SLOWEST_CLOCK_RATE;
}

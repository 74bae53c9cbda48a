/**
 * Leases of workers on their runs, measured on the workers' own clocks.
 *
 * A worker kills all runs when its clock reaches the latest lease deadline that it received. The scheduler derives
 * deadlines from the worker's latest clock reading; the slowest clock rate bounds when the worker has reached them.
 *
 * @module
 */

import { LONGEST_ORDER_DELAY_MS } from "./unanswered_starts.ts";

/** A reading of a worker's clock. */
export interface ClockReading {
  /** Time on the worker's clock, in milliseconds. */
  workerMs: number;
  /** Local monotonic time in milliseconds at which the reading arrived; the clock was read earlier. */
  receivedAt: number;
}

/** Slowest rate of a worker's clock relative to true time, guaranteed by the platform. */
export const SLOWEST_CLOCK_RATE = 0.98;

/** The deadline on a worker's clock for a lease that starts now, in whole milliseconds. */
export function leaseDeadline(
  { workerMs, receivedAt }: ClockReading,
  now: number,
  leaseMs: number,
): number {
  return Math.floor(workerMs + (now - receivedAt) + leaseMs);
}

/** Local monotonic time by which a worker's clock is guaranteed to have reached a deadline. */
export function leaseEndsBy(
  { workerMs, receivedAt }: ClockReading,
  deadlineMs: number,
): number {
  return receivedAt +
    Math.max(0, deadlineMs - workerMs) / SLOWEST_CLOCK_RATE;
}

/**
 * Local monotonic time by which the lease of a worker that restarted has ended if it is not renewed. Its clock started
 * anew, so the deadline of an order to its earlier life, carried out late, may grant the longest lease.
 */
export function restartedLeaseEndsBy(now: number, maxLeaseMs: number): number {
  return now + LONGEST_ORDER_DELAY_MS + maxLeaseMs / SLOWEST_CLOCK_RATE;
}

/** Local monotonic time by which leases of an earlier leader have expired, whose leadership ended by a given time. */
export function inheritedLeaseEndsBy(
  leadershipEndedAt: number,
  leaseMs: number,
): number {
  return leadershipEndedAt + leaseMs / SLOWEST_CLOCK_RATE;
}

/**
 * The clocks of the process. Decisions take the time as an argument; only the daemon reads it.
 *
 * @module
 */
import { performance } from "node:perf_hooks";

export interface Clock {
  /** Monotonic time in milliseconds, for leases and timeouts. */
  monotonic(): number;
  /** Wall-clock time in milliseconds since 1970, for records and maintenance windows. */
  wall(): number;
}

export const systemClock: Clock = {
  monotonic: () => performance.now(),
  wall: () => Date.now(),
};

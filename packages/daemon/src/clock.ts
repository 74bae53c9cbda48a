/**
 * The clocks of the process. Only the daemon reads them; decisions in the core take the time as an argument.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import process from "node:process";

const US_PER_MS = 1_000;

export interface Clock {
  /** Monotonic time in milliseconds, for leases and timeouts. */
  monotonic(): number;
  /** Monotonic time in milliseconds at which this process started. */
  processStart(): number;
  /** Wall-clock time in milliseconds since 1970, for records and maintenance windows. */
  wall(): number;
  /** Processor time used by this process, in milliseconds. */
  processor(): number;
}

export const systemClock: Clock = {
  monotonic: () => performance.now(),
  // performance.now() counts from the start of the process.
  processStart: () => 0,
  wall: () => Date.now(),
  processor: () => {
    const { user, system } = process.cpuUsage();
    return (user + system) / US_PER_MS;
  },
};

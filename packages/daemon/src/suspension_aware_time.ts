/**
 * Time that also advances while the process is suspended.
 *
 * @module
 */
import type { Clock } from "./clock.ts";

/** Difference between the progress of the two clocks that counts as a suspension; smaller ones are corrections. */
const MIN_SUSPENSION_MS = 50;

/**
 * Returns a function that reads the time in milliseconds. The monotonic clock may stand still during a suspension, so
 * the lead of the wall clock is added. A forward step of the wall clock is mistaken for a suspension, so use the time
 * only where it is safe that something expires early.
 */
export function suspensionAwareTime(
  clock: Pick<Clock, "monotonic" | "wall">,
): () => number {
  let monotonic = clock.monotonic();
  let wall = clock.wall();
  let suspendedMs = 0;
  return () => {
    const nextMonotonic = clock.monotonic();
    const nextWall = clock.wall();
    const leadMs = (nextWall - wall) - (nextMonotonic - monotonic);
    if (leadMs > MIN_SUSPENSION_MS) {
      suspendedMs += leadMs;
    }
    monotonic = nextMonotonic;
    wall = nextWall;
    return monotonic + suspendedMs;
  };
}

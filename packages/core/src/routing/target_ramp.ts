/**
 * Slow start of targets: one that joins a running fleet, or returns to it, gets its slots step by step.
 *
 * @module
 */
import type { Route } from "./submission.ts";

/** Slots of a target that has just joined. */
const INITIAL_SLOTS = 2;

/** Time for each further slot. */
const SLOT_INTERVAL_MS = 500;

/** Since when each target serves. */
export class TargetRamp {
  readonly #joinedAt = new Map<string, number>();
  #started = false;

  /**
   * Takes over the table of targets. Those of the first table, and those that a new leader learns of before it is
   * settled, served before and have all their slots at once.
   */
  update(
    routes: readonly Route[],
    { now, settled }: { now: number; settled: boolean },
  ): void {
    const serving = routes.filter((route) => route.state === "serving");
    const names = new Set(serving.map((route) => route.target));
    for (const target of this.#joinedAt.keys()) {
      if (!names.has(target)) {
        this.#joinedAt.delete(target);
      }
    }
    const isJoining = this.#started && settled;
    const since = isJoining ? now : Number.NEGATIVE_INFINITY;
    for (const target of names) {
      if (!this.#joinedAt.has(target)) {
        this.#joinedAt.set(target, since);
      }
    }
    this.#started ||= routes.length > 0;
  }

  /** Slots of a target that may be used now; none of one that does not serve. */
  usable(route: Route, now: number): number {
    const joinedAt = this.#joinedAt.get(route.target);
    if (joinedAt === undefined) {
      return 0;
    }
    const steps = Math.floor((now - joinedAt) / SLOT_INTERVAL_MS);
    return Math.min(route.slots, INITIAL_SLOTS + steps);
  }
}

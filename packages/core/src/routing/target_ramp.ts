/**
 * Slow start of targets: the usable slots of one that joins or rejoins a running fleet grow over time.
 *
 * @module
 */
import type { Route } from "./router_types.ts";

/** Usable slots of a target that has just joined. */
const INITIAL_SLOTS = 2;

/** Time per additional slot. */
const SLOT_INTERVAL_MS = 500;

/** Slow start of the targets of one leader. */
export class TargetRamp {
  readonly #joinedAt = new Map<string, number>();
  #started = false;

  /**
   * Replaces the table of targets. Targets of the first table, and those that a new leader learns of during its grace
   * period, were serving before, so all their slots are usable at once.
   */
  update(
    routes: readonly Route[],
    { now, isGracePeriodOver }: { now: number; isGracePeriodOver: boolean },
  ): void {
    const serving = routes.filter((route) => route.state === "serving");
    const names = new Set(serving.map((route) => route.target));
    for (const target of this.#joinedAt.keys()) {
      if (!names.has(target)) {
        this.#joinedAt.delete(target);
      }
    }
    const isJoining = this.#started && isGracePeriodOver;
    const since = isJoining ? now : Number.NEGATIVE_INFINITY;
    for (const target of names) {
      if (!this.#joinedAt.has(target)) {
        this.#joinedAt.set(target, since);
      }
    }
    this.#started ||= routes.length > 0;
  }

  /** Number of slots of a target that may be used now; 0 when it is not serving. */
  usable(route: Route, now: number): number {
    const joinedAt = this.#joinedAt.get(route.target);
    if (joinedAt === undefined) {
      return 0;
    }
    const steps = Math.floor((now - joinedAt) / SLOT_INTERVAL_MS);
    return Math.min(route.slots, INITIAL_SLOTS + steps);
  }
}

/**
 * Logs why planned stops wait: one line when a rule begins to hold a VM and one when it no longer does, however many
 * decision passes report the hold in between.
 *
 * @module
 */
import type { Hold } from "@quetzalcove/core";
import type { Log } from "../observe/log.ts";

/** Limit on the lines of each kind per decision pass, for when the whole fleet is held; the rest is only counted. */
const MAX_LINES = 32;

/** A hold and the monotonic time at which it began, in milliseconds. */
interface ActiveHold {
  hold: Hold;
  since: number;
}

export class HoldLog {
  readonly #log: Log;
  #activeHolds = new Map<string, ActiveHold>();

  constructor(log: Log) {
    this.#log = log;
  }

  /** Logs the differences between these holds and those of the previous decision pass; `now` is the monotonic time. */
  update(holds: readonly Hold[], now: number): void {
    const current = new Map<string, ActiveHold>();
    for (const hold of holds) {
      if (hold.vm !== undefined) {
        const key = `${hold.vm} ${hold.rule}`;
        current.set(key, this.#activeHolds.get(key) ?? { hold, since: now });
      }
    }
    const newHolds = [...current].filter(([key]) =>
      !this.#activeHolds.has(key)
    );
    const endedHolds = [...this.#activeHolds].filter(([key]) =>
      !current.has(key)
    );
    for (const [, { hold }] of newHolds.slice(0, MAX_LINES)) {
      const { vm, rule, service, figure, limit } = hold;
      this.#log.info("stop.held", { vm, rule, service, figure, limit });
    }
    for (const [, { hold, since }] of endedHolds.slice(0, MAX_LINES)) {
      const { vm, rule } = hold;
      this.#log.info("stop.released", {
        vm,
        rule,
        heldMs: Math.round(now - since),
      });
    }
    const omitted = Math.max(0, newHolds.length - MAX_LINES) +
      Math.max(0, endedHolds.length - MAX_LINES);
    if (omitted > 0) {
      this.#log.warn("stop.omitted", { lines: omitted });
    }
    this.#activeHolds = current;
  }
}

/**
 * Logs why planned stops wait: one line when a rule begins to hold a VM and one when it no longer does, however often
 * the decision is repeated in between.
 *
 * @module
 */
import type { Hold } from "@quetzalcove/core";
import type { Log } from "../observe/log.ts";

/** Most lines for one decision; the rest is counted. A bound on log volume when a whole fleet is held at once. */
const MAX_LINES = 32;

/** A hold that was logged and the monotonic time at which it began, in milliseconds. */
interface Standing {
  hold: Hold;
  since: number;
}

export class HoldLog {
  readonly #log: Log;
  #standing = new Map<string, Standing>();

  constructor(log: Log) {
    this.#log = log;
  }

  /** Compares the holds of a decision at the monotonic time `now` with those of the one before. */
  note(holds: readonly Hold[], now: number): void {
    const current = new Map<string, Standing>();
    for (const hold of holds) {
      if (hold.vm !== undefined) {
        const key = `${hold.vm} ${hold.rule}`;
        current.set(key, this.#standing.get(key) ?? { hold, since: now });
      }
    }
    const begun = [...current].filter(([key]) => !this.#standing.has(key));
    const ended = [...this.#standing].filter(([key]) => !current.has(key));
    for (const [, { hold }] of begun.slice(0, MAX_LINES)) {
      const { vm, rule, service, figure, limit } = hold;
      this.#log.info("stop.held", { vm, rule, service, figure, limit });
    }
    for (const [, { hold, since }] of ended.slice(0, MAX_LINES)) {
      const { vm, rule } = hold;
      this.#log.info("stop.released", {
        vm,
        rule,
        heldMs: Math.round(now - since),
      });
    }
    const omitted = Math.max(0, begun.length - MAX_LINES) +
      Math.max(0, ended.length - MAX_LINES);
    if (omitted > 0) {
      this.#log.warn("stop.omitted", { lines: omitted });
    }
    this.#standing = current;
  }
}

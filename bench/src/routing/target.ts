/**
 * A simulated target: it counts what is at work on it, and can be slow, fail everything at once, or be lost.
 *
 * @module
 */
import type { Completion, Route } from "@quetzalcove/core";
import type { Events } from "./events.ts";

/** What a target does beyond its slots: run it all the same, refuse it, or let it wait for a worker. */
export type Excess = "run" | "refuse" | "wait";

/** How a target behaves. */
export type Condition = "well" | "slow" | "failing" | "lost";

const SLOW_FACTOR = 10;
const FAIL_AFTER_MS = 1;

/** How long a silent connection is kept before the attempt counts as failed. */
const SILENT_MS = 3_000;

interface Work {
  runMs: number;
  done: (completion: Completion) => void;
}

/** One simulated target. */
export class SimulatedTarget {
  condition: Condition = "well";
  /** Requests that were accepted and have not ended. */
  present = 0;
  mostPresent = 0;
  /** Requests that were accepted while every slot was taken. */
  beyondSlots = 0;
  readonly route: Route;
  readonly #events: Events;
  readonly #excess: Excess;
  readonly #waiting: Work[] = [];
  readonly #open = new Set<Work>();
  #working = 0;

  constructor(route: Route, events: Events, excess: Excess) {
    this.route = route;
    this.#events = events;
    this.#excess = excess;
  }

  /** Takes a request; `done` is called when it ended, or later as failed when the target is lost. */
  accept(runMs: number, done: (completion: Completion) => void): void {
    if (this.condition === "lost") {
      return;
    }
    const { slots, connections } = this.route;
    const limit = this.#excess === "refuse"
      ? slots
      : this.#excess === "wait"
      ? connections
      : Number.POSITIVE_INFINITY;
    if (this.present >= limit) {
      done("refused");
      return;
    }
    if (this.present >= slots) {
      this.beyondSlots += 1;
    }
    this.present += 1;
    this.mostPresent = Math.max(this.mostPresent, this.present);
    const work = { runMs, done };
    this.#open.add(work);
    this.#begin(work);
  }

  /** Loses the target and everything on it; its connections go silent. */
  lose(): void {
    const open = [...this.#open];
    this.#events.after(SILENT_MS, () => {
      for (const work of open) {
        work.done("failed");
      }
    });
    this.#open.clear();
    this.condition = "lost";
    this.present = 0;
    this.#working = 0;
    this.#waiting.length = 0;
  }

  #begin(work: Work): void {
    if (this.#excess === "wait" && this.#working >= this.route.slots) {
      this.#waiting.push(work);
      return;
    }
    this.#working += 1;
    const failing = this.condition === "failing";
    const factor = this.condition === "slow" ? SLOW_FACTOR : 1;
    const ms = failing ? FAIL_AFTER_MS : work.runMs * factor;
    this.#events.after(ms, () => this.#end(work, failing));
  }

  #end(work: Work, failing: boolean): void {
    if (this.condition === "lost") {
      return;
    }
    this.#open.delete(work);
    this.present -= 1;
    this.#working -= 1;
    work.done(failing ? "failed" : "ok");
    const next = this.#waiting.shift();
    if (next !== undefined) {
      this.#begin(next);
    }
  }
}

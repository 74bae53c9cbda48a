/**
 * A simulated target that counts its requests in progress, and can be slow, fail every request, or be lost.
 *
 * @module
 */
import type { Completion, Route } from "@quetzalcove/core";
import type { EventQueue } from "./events.ts";

/** What a target does with requests beyond its slots: run them anyway, refuse them, or queue them. */
export type OverflowMode = "run" | "refuse" | "wait";

/** Condition of a target. */
export type Condition = "healthy" | "slow" | "failing" | "lost";

const SLOW_FACTOR = 10;
const FAIL_AFTER_MS = 1;

/** Time after which an attempt on a silent connection counts as failed. */
const CONNECTION_TIMEOUT_MS = 3_000;

interface Attempt {
  runMs: number;
  done: (completion: Completion) => void;
}

/** One simulated target. */
export class SimulatedTarget {
  condition: Condition = "healthy";
  /** Accepted requests that have not ended. */
  inProgress = 0;
  maxInProgress = 0;
  /** Requests accepted while every slot was taken. */
  beyondSlots = 0;
  readonly route: Route;
  readonly #events: EventQueue;
  readonly #overflow: OverflowMode;
  readonly #queue: Attempt[] = [];
  readonly #open = new Set<Attempt>();
  #runningCount = 0;

  constructor(route: Route, events: EventQueue, overflow: OverflowMode) {
    this.route = route;
    this.#events = events;
    this.#overflow = overflow;
  }

  /** Accepts a request; `done` is called when it ends, or as failed after a timeout if the target is lost meanwhile. */
  accept(runMs: number, done: (completion: Completion) => void): void {
    if (this.condition === "lost") {
      return;
    }
    const { slots, connections } = this.route;
    const limit = this.#overflow === "refuse"
      ? slots
      : this.#overflow === "wait"
      ? connections
      : Number.POSITIVE_INFINITY;
    if (this.inProgress >= limit) {
      done("refused");
      return;
    }
    if (this.inProgress >= slots) {
      this.beyondSlots += 1;
    }
    this.inProgress += 1;
    this.maxInProgress = Math.max(this.maxInProgress, this.inProgress);
    const attempt = { runMs, done };
    this.#open.add(attempt);
    this.#start(attempt);
  }

  /** Loses the target and all requests on it; open attempts fail after the connection timeout. */
  lose(): void {
    const open = [...this.#open];
    this.#events.after(CONNECTION_TIMEOUT_MS, () => {
      for (const attempt of open) {
        attempt.done("failed");
      }
    });
    this.#open.clear();
    this.condition = "lost";
    this.inProgress = 0;
    this.#runningCount = 0;
    this.#queue.length = 0;
  }

  #start(attempt: Attempt): void {
    if (this.#overflow === "wait" && this.#runningCount >= this.route.slots) {
      this.#queue.push(attempt);
      return;
    }
    this.#runningCount += 1;
    const failing = this.condition === "failing";
    const factor = this.condition === "slow" ? SLOW_FACTOR : 1;
    const ms = failing ? FAIL_AFTER_MS : attempt.runMs * factor;
    this.#events.after(ms, () => this.#end(attempt, failing));
  }

  #end(attempt: Attempt, failing: boolean): void {
    if (this.condition === "lost") {
      return;
    }
    this.#open.delete(attempt);
    this.inProgress -= 1;
    this.#runningCount -= 1;
    attempt.done(failing ? "failed" : "ok");
    const next = this.#queue.shift();
    if (next !== undefined) {
      this.#start(next);
    }
  }
}

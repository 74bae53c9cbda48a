/**
 * Delivers the router's decisions to the requests that wait for them.
 *
 * @module
 */
import {
  type Completion,
  fault,
  type Router,
  type RoutingDecision,
  type Submission,
} from "@quetzalcove/core";
import type { Clock } from "../clock.ts";
import type { Component } from "../lifecycle.ts";

/** A decision that ends a request's wait: any decision but `queue`. */
export type DispatchDecision = Exclude<RoutingDecision, { kind: "queue" }>;

export class Dispatcher implements Component {
  readonly name = "dispatcher";
  readonly #router: Router;
  readonly #clock: Clock;
  readonly #afterDecision: () => void;
  readonly #waiting = new Map<string, (decision: DispatchDecision) => void>();
  /** Ids of requests with an attempt in progress. */
  readonly #inAttempt = new Set<string>();
  #timer: NodeJS.Timeout | undefined;

  /** `afterDecision` is called after every event that was applied to the router. */
  constructor(router: Router, clock: Clock, afterDecision: () => void) {
    this.#router = router;
    this.#clock = clock;
    this.#afterDecision = afterDecision;
  }

  start(): Promise<void> {
    return Promise.resolve();
  }

  stop(): Promise<void> {
    clearTimeout(this.#timer);
    return Promise.resolve();
  }

  /** Submits a request to the router and waits for the decision. */
  submit(submission: Submission): Promise<DispatchDecision> {
    const decision = this.nextDecision(submission.id);
    this.#deliver(this.#router.submit(submission, this.#clock.monotonic()));
    return decision;
  }

  /** Waits for the next decision on a request. */
  nextDecision(id: string): Promise<DispatchDecision> {
    return new Promise((resolve) => this.#waiting.set(id, resolve));
  }

  /**
   * Reports the end of an attempt. Returns whether the router decided on the request again, so that another
   * decision is or will be delivered.
   */
  complete(id: string, completion: Completion): boolean {
    this.#inAttempt.delete(id);
    const decisions = this.#router.complete(
      id,
      completion,
      this.#clock.monotonic(),
    );
    this.#deliver(decisions);
    return decisions.some((decision) => decision.id === id);
  }

  /** Cancels a request whose caller disconnected. A queued request is refused; an attempt in progress continues. */
  cancel(id: string): void {
    const decisions = this.#router.cancel(id, this.#clock.monotonic());
    if (!this.#inAttempt.has(id)) {
      const cause = fault("expired", "The caller went away", {
        outcome: "not run",
      });
      this.#deliver([{ kind: "refuse", id, fault: cause }]);
    }
    this.#deliver(decisions);
  }

  /** Stops waiting for decisions on a request. */
  stopWaiting(id: string): void {
    this.#waiting.delete(id);
  }

  /** Applies an event to the router, such as changed targets, and delivers the resulting decisions. */
  applyToRouter(
    event: (router: Router, now: number) => RoutingDecision[],
  ): void {
    this.#deliver(event(this.#router, this.#clock.monotonic()));
  }

  #deliver(decisions: readonly RoutingDecision[]): void {
    for (const decision of decisions) {
      if (decision.kind === "send") {
        this.#inAttempt.add(decision.id);
      }
      if (decision.kind !== "queue") {
        const resolve = this.#waiting.get(decision.id);
        this.#waiting.delete(decision.id);
        resolve?.(decision);
      }
    }
    this.#afterDecision();
    this.#scheduleWakeup();
  }

  #scheduleWakeup(): void {
    clearTimeout(this.#timer);
    const wakeupAt = this.#router.nextWakeup();
    if (Number.isFinite(wakeupAt)) {
      const delayMs = Math.max(
        1,
        Math.ceil(wakeupAt - this.#clock.monotonic()),
      );
      this.#timer = setTimeout(
        () => this.applyToRouter((router, now) => router.expire(now)),
        delayMs,
      );
    }
  }
}

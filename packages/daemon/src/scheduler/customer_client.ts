/**
 * Customers' calls of an entry to the leader. Calls with keys that the leader has just refused are not sent.
 *
 * @module
 */
import {
  Err,
  type Fault,
  type FaultKind,
  type Result,
} from "@quetzalcove/core";
import { KeyCache, RefusalCache } from "@quetzalcove/core/scheduling";
import { type Clock, systemClock } from "../clock.ts";
import type { Metrics } from "../observe/metrics.ts";
import { suspensionAwareTime } from "../suspension_aware_time.ts";
import type { CustomerMethod, Params } from "./methods.ts";
import type { SchedulerNode } from "./node.ts";

/** Dependencies of a customer client. */
export interface CustomerClientParts {
  /** Calls a method at the leader. */
  call: SchedulerNode["call"];
  metrics: Metrics;
  clock?: Pick<Clock, "monotonic" | "wall">;
}

/** Faults that the leader only gives to a call whose key it has accepted. */
const KINDS_AFTER_ACCEPTANCE: readonly FaultKind[] = ["conflict", "over_quota"];

export class CustomerClient {
  readonly #parts: CustomerClientParts;
  readonly #keyCache = new KeyCache();
  readonly #refusals = new RefusalCache();
  readonly #now: () => number;

  constructor(parts: CustomerClientParts) {
    this.#parts = parts;
    this.#now = suspensionAwareTime(parts.clock ?? systemClock);
  }

  /** Calls a method at the leader, or repeats the leader's refusal of the key or of the customer's submissions. */
  async call<M extends CustomerMethod>(
    method: M,
    params: Params<M>,
    timeoutMs: number,
  ): Promise<Result<unknown, Fault>> {
    const sentAt = this.#now();
    const refusal = this.#refusalOf(method, params, sentAt);
    if (refusal !== undefined) {
      return Err(refusal);
    }
    const isSubmission = method === "submit_job";
    if (isSubmission) {
      this.#refusals.recordCall(params, sentAt);
    }
    const called = await this.#parts.call(method, params, timeoutMs);
    if (isSubmission) {
      this.#refusals.recordAnswer(params, called, sentAt, this.#now());
    }
    this.#record(params.keyDigest, called, sentAt);
    return called;
  }

  /** The refusal of a call that need not be sent. */
  #refusalOf(
    method: CustomerMethod,
    call: Params<"read_queue">,
    now: number,
  ): Fault | undefined {
    const { keyDigest } = call;
    const { metrics } = this.#parts;
    const ofKey = keyDigest === undefined
      ? undefined
      : this.#keyCache.refusalOf(keyDigest, now);
    if (ofKey !== undefined) {
      metrics.count("quetzalcove_key_refusals_total", { reason: ofKey.kind });
      return ofKey;
    }
    // Readings and cancellations are never refused for load.
    const ofCustomer = method === "submit_job"
      ? this.#refusals.find(call, now)
      : undefined;
    if (ofCustomer !== undefined) {
      metrics.count("quetzalcove_repeated_refusals_total", {
        reason: ofCustomer.kind,
      });
    }
    return ofCustomer;
  }

  #record(
    keyDigest: string | undefined,
    called: Result<unknown, Fault>,
    sentAt: number,
  ): void {
    const now = this.#now();
    if (called.err && called.val.kind === "unauthenticated") {
      this.#keyCache.recordRefused(keyDigest, sentAt, now);
    } else if (
      keyDigest !== undefined &&
      (called.ok || KINDS_AFTER_ACCEPTANCE.includes(called.val.kind))
    ) {
      this.#keyCache.recordAccepted(keyDigest, now);
    }
  }
}

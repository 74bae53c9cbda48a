/**
 * What an entry remembers about API keys, so that calls with unknown keys cost the leader a bounded amount of work.
 *
 * Only the leader accepts a key. The entry repeats its refusals for a short time, and limits the rate of calls with
 * keys that were not accepted recently. It does neither until the leader has refused a call, so a plan without
 * customers is not affected. Times are in milliseconds and must also advance while the process is suspended.
 *
 * @module
 */
import { type Fault, fault } from "../../fault.ts";
import { CallAllowance } from "./call_allowance.ts";
import { unknownKeyFault } from "./customer_access.ts";
import { ExpiringSet } from "./expiring_set.ts";

/**
 * Counted from when the refused call was sent. A key that a new plan adds must work 2,500 ms after the plan is
 * acknowledged, and its caller should have a retry within that time.
 */
export const REFUSAL_LIFETIME_MS = 1_000;

/** How long a key counts as accepted after a call, and how long the limit stays after a refusal. */
export const ACCEPTANCE_LIFETIME_MS = 60_000;

/**
 * Calls per second in each class of keys that were not accepted recently. With three classes and 41 entries the leader
 * gets at most 1,230 such calls a second, each of which is one look-up.
 */
export const UNPROVEN_CALLS_PER_S = 10;

/** As many customers as a deployment has can all make their first calls to an entry at once. */
export const UNPROVEN_BURST = 20;

/** Bound of each set of digests: several keys of some hundred customers; about 1 MB per set. */
export const MAX_REMEMBERED_KEYS = 4_096;

/** When a deferred call should be retried; the allowance of a second is new by then. */
const RETRY_AFTER_MS = 1_000;

type AllowanceClass = "new" | "deferred" | "suspect";

export class KeyCache {
  readonly #accepted = new ExpiringSet(MAX_REMEMBERED_KEYS);
  /** Keys whose refusal is repeated. */
  readonly #refused = new ExpiringSet(MAX_REMEMBERED_KEYS);
  /** Keys that the leader refused, not necessarily just now. */
  readonly #suspect = new ExpiringSet(MAX_REMEMBERED_KEYS);
  /** Keys of calls that the limit deferred. */
  readonly #deferred = new ExpiringSet(MAX_REMEMBERED_KEYS);
  /**
   * One allowance for each class of keys, so that neither a flood of ever new keys nor one that repeats refused keys
   * keeps out a valid key that is tried again.
   */
  readonly #allowances: Record<AllowanceClass, CallAllowance> = {
    new: newAllowance(),
    deferred: newAllowance(),
    suspect: newAllowance(),
  };
  #isLimitedUntil = -Infinity;

  /** The fault with which to answer a call; undefined if the leader must decide. */
  refusalOf(keyDigest: string, now: number): Fault | undefined {
    if (this.#refused.has(keyDigest, now)) {
      return unknownKeyFault();
    }
    if (now >= this.#isLimitedUntil || this.#accepted.has(keyDigest, now)) {
      return undefined;
    }
    if (this.#allowances[this.#classOf(keyDigest, now)].take(now)) {
      return undefined;
    }
    this.#deferred.add(keyDigest, now + ACCEPTANCE_LIFETIME_MS);
    return fault("overloaded", "Too many calls with unproven API keys", {
      outcome: "not run",
      retryAfterMs: RETRY_AFTER_MS,
    });
  }

  /** Records that the leader accepted a key. */
  recordAccepted(keyDigest: string, now: number): void {
    this.#refused.delete(keyDigest);
    this.#suspect.delete(keyDigest);
    this.#deferred.delete(keyDigest);
    this.#accepted.add(keyDigest, now + ACCEPTANCE_LIFETIME_MS);
  }

  /** Records that the leader refused a call that was sent at a time; `keyDigest` is undefined if it had no key. */
  recordRefused(
    keyDigest: string | undefined,
    sentAt: number,
    now: number,
  ): void {
    this.#isLimitedUntil = now + ACCEPTANCE_LIFETIME_MS;
    if (keyDigest !== undefined) {
      this.#accepted.delete(keyDigest);
      this.#refused.add(keyDigest, sentAt + REFUSAL_LIFETIME_MS);
      this.#suspect.add(keyDigest, now + ACCEPTANCE_LIFETIME_MS);
    }
  }

  #classOf(keyDigest: string, now: number): AllowanceClass {
    if (this.#suspect.has(keyDigest, now)) {
      return "suspect";
    }
    return this.#deferred.has(keyDigest, now) ? "deferred" : "new";
  }
}

function newAllowance(): CallAllowance {
  return new CallAllowance(UNPROVEN_CALLS_PER_S, UNPROVEN_BURST);
}

/**
 * What an entry remembers about API keys, so that calls with unknown keys cost the leader a bounded amount of work.
 *
 * Only the leader accepts a key. The entry repeats its refusals for a short time, and limits the rate of calls with
 * keys that were not accepted lately. It does neither until the leader has refused a call, so a plan without customers
 * is not affected. Times are in milliseconds and must also advance while the process is suspended.
 *
 * @module
 */
import { type Fault, fault } from "../fault.ts";
import { CallAllowance } from "./call_allowance.ts";
import { unknownKeyFault } from "./customer_access.ts";
import { ExpiringSet } from "./expiring_set.ts";

/** Counted from when the refused call was sent. A key that a new plan adds must work 2,500 ms after the plan. */
export const REFUSAL_LIFETIME_MS = 1_000;

/** How long a key counts as accepted after its last accepted call; also how long the limit stays after a refusal. */
export const ACCEPTANCE_LIFETIME_MS = 60_000;

/**
 * Calls per second with keys that were not accepted lately, and as many with such keys that were deferred before. With
 * 41 entries the leader gets at most 1,640 such calls a second, each of which is one look-up.
 */
export const UNPROVEN_CALLS_PER_S = 20;

/** Bound of each set of digests: some hundred customers with several keys; about 1 MB per set. */
export const MAX_REMEMBERED_KEYS = 4_096;

/** When a deferred call should be retried: the allowance of a second is new by then. */
const RETRY_AFTER_MS = 1_000;

export class KeyCache {
  readonly #accepted = new ExpiringSet(MAX_REMEMBERED_KEYS);
  readonly #refused = new ExpiringSet(MAX_REMEMBERED_KEYS);
  /** Keys of calls that the limit deferred. */
  readonly #deferred = new ExpiringSet(MAX_REMEMBERED_KEYS);
  readonly #newKeyCalls = new CallAllowance(UNPROVEN_CALLS_PER_S);
  /** A flood of ever new keys must not keep out a valid key that is tried again, so that has its own allowance. */
  readonly #deferredKeyCalls = new CallAllowance(UNPROVEN_CALLS_PER_S);
  #isLimitedUntil = -Infinity;

  /** The fault with which to answer a call; undefined if the leader must decide. */
  refusalOf(keyDigest: string, now: number): Fault | undefined {
    if (this.#refused.has(keyDigest, now)) {
      return unknownKeyFault();
    }
    if (now >= this.#isLimitedUntil || this.#accepted.has(keyDigest, now)) {
      return undefined;
    }
    const allowance = this.#deferred.has(keyDigest, now)
      ? this.#deferredKeyCalls
      : this.#newKeyCalls;
    if (allowance.take(now)) {
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
    if (keyDigest === undefined) {
      return;
    }
    this.#accepted.delete(keyDigest);
    this.#deferred.delete(keyDigest);
    if (now < sentAt + REFUSAL_LIFETIME_MS) {
      this.#refused.add(keyDigest, sentAt + REFUSAL_LIFETIME_MS);
    }
  }
}

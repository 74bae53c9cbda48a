/**
 * Choice of the next request of a service and of its target among the slots that this entry holds.
 *
 * @module
 */
import type { Held, Pool } from "./pool.ts";
import type { Moment } from "./refusals.ts";
import type { Pending } from "./waiting_line.ts";

/** How much more a failing target costs than its run time says. */
const FAILURE_PENALTY = 10;

/** Share by which equal targets are told apart at random, so that entries do not choose alike. */
const JITTER = 0.1;

/** A target this many times slower than the service's mean counts as slow. */
const SLOW_FACTOR = 3;

/** After this long without use, what is known about a target counts half. */
const RELAX_AFTER_MS = 5_000;

/** A request and the target that has a slot for it. */
export interface Match {
  pending: Pending;
  held: Held;
}

/** The next request to start and its target, or none. */
export function nextMatch(pool: Pool, moment: Moment): Match | undefined {
  if (pool.line.length === 0 || !anyFree(pool, moment.now)) {
    return undefined;
  }
  return match(pool, pool.line.of("urgent"), moment) ??
    match(pool, dueOvernight(pool, moment.now), moment) ??
    match(pool, pool.line.of("live"), moment) ??
    match(pool, spareOvernight(pool, moment.now), moment);
}

/** Whether a target has a slot for one more request of this entry. */
export function hasFreeSlot(held: Held, now: number): boolean {
  return held.route.state === "serving" &&
    held.inFlight < Math.min(held.allowance, held.health.limit(now));
}

/** Whether any target of the service has a slot. */
export function anyFree(pool: Pool, now: number): boolean {
  for (const held of pool.held.values()) {
    if (hasFreeSlot(held, now)) {
      return true;
    }
  }
  return false;
}

/** Picks the target for a request, or none when it is better off waiting. */
export function choose(
  pool: Pool,
  pending: Pending,
  moment: Moment,
): Held | undefined {
  let best: Held | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const held of pool.held.values()) {
    const tried = pending.tried.includes(held.route.target);
    if (tried || !hasFreeSlot(held, moment.now)) {
      continue;
    }
    if (!held.health.carries) {
      if (pending.repeatable) {
        return held;
      }
      continue;
    }
    const cost = costOf(held, moment);
    if (cost < bestCost) {
      best = held;
      bestCost = cost;
    }
  }
  const wait = best !== undefined && waitsBetter(pool, best, pending);
  return wait ? undefined : best;
}

function match(
  pool: Pool,
  queue: readonly Pending[],
  moment: Moment,
): Match | undefined {
  for (const pending of queue) {
    const held = choose(pool, pending, moment);
    if (held !== undefined) {
      return { pending, held };
    }
    if (pending.tried.length === 0) {
      return undefined;
    }
  }
  return undefined;
}

/** Overnight work that has to go ahead of live work to end by its hour. */
function dueOvernight(pool: Pool, now: number): readonly Pending[] {
  return pool.overnightInFlight < pool.overnightDue(now)
    ? pool.line.of("overnight")
    : [];
}

/** Overnight work, while there are slots that live work has left free lately. */
function spareOvernight(pool: Pool, now: number): readonly Pending[] {
  return pool.overnightInFlight < pool.overnightSlots(now)
    ? pool.line.of("overnight")
    : [];
}

/** Expected run time, raised by the load and the failures at the target. */
function costOf(held: Held, { now, random }: Moment): number {
  if (now - held.usedAt > RELAX_AFTER_MS) {
    held.pace.relax(1, 0.5);
    held.health.fade();
    held.usedAt = now;
  }
  const busy = 1 + held.inFlight / held.allowance;
  const failing = 1 + FAILURE_PENALTY * held.health.suspicion;
  return held.pace.meanMs * busy * failing * (1 + JITTER * random());
}

/** Whether waiting for another target beats starting at once on a slow one. */
function waitsBetter(pool: Pool, held: Held, pending: Pending): boolean {
  const meanMs = pool.run.meanMs;
  const othersBusy = pool.inFlight - held.inFlight;
  const slow = held.pace.meanMs > SLOW_FACTOR;
  if (pending.priority === "overnight" || othersBusy <= 0 || !slow) {
    return false;
  }
  const waitMs = (pool.line.urgentAndLive + 1) * meanMs / othersBusy;
  return waitMs + meanMs < held.pace.meanMs * meanMs;
}

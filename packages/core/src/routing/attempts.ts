/**
 * Attempts in flight: taking and freeing slots, and what is learned from how an attempt ended.
 *
 * @module
 */
import { ejectIfSpared } from "./ejection.ts";
import type { Held, Pool } from "./pool.ts";
import type { Completion } from "./submission.ts";
import type { Pending } from "./waiting_line.ts";

/** An attempt that occupies a slot. */
export interface Flight {
  pending: Pending;
  pool: Pool;
  held: Held;
  sentAt: number;
  /** Whether the caller has its answer or has gone; the slot stays taken. */
  settled: boolean;
  /** Whether the deadline passed without an answer. */
  late: boolean;
}

/** Takes a slot for a request. */
export function start(
  pool: Pool,
  pending: Pending,
  { held, now }: { held: Held; now: number },
): Flight {
  held.inFlight += 1;
  held.usedAt = now;
  held.health.sent(now);
  if (pending.priority === "overnight") {
    pool.overnightInFlight += 1;
  } else {
    pool.liveInFlight += 1;
  }
  if (pending.attempt === 1) {
    pool.budget.earn();
  }
  return { pending, pool, held, sentAt: now, settled: false, late: false };
}

/** Frees the slot of an attempt. */
export function release(flight: Flight): void {
  const { pool, held, pending } = flight;
  held.inFlight -= 1;
  if (pending.priority === "overnight") {
    pool.overnightInFlight -= 1;
  } else {
    pool.liveInFlight -= 1;
  }
  if (held.inFlight === 0 && held.route.state === "absent") {
    pool.held.delete(held.route.target);
  }
}

/** Adds the end of an attempt to what is known about its target and service. */
export function learn(
  flight: Flight,
  completion: Completion,
  now: number,
): void {
  const { pool, held, sentAt, late } = flight;
  const runMs = now - sentAt;
  switch (completion) {
    case "ok":
      pool.run.observe(runMs, now);
      held.pace.observe(runMs / pool.run.meanMs, now);
      if (!late) {
        held.health.succeeded(now);
      }
      return;
    case "failed":
    case "refused":
    case "unreachable":
      if (!late) {
        held.health.failed(now, false);
        ejectIfSpared(pool, held, now);
      }
      return;
    default:
      held.health.unsent();
  }
}

/** Counts a missed deadline against the target. */
export function learnTimeout(flight: Flight, now: number): void {
  flight.settled = true;
  flight.late = true;
  flight.held.health.failed(now, true);
  ejectIfSpared(flight.pool, flight.held, now);
}

/** Notes that an attempt may have run, so that no later answer says that the request did not. */
export function noteOutcome(flight: Flight, completion: Completion): void {
  if (completion === "failed") {
    flight.pending.mayHaveRun = completion;
  }
}

/** Whether a request may be tried again on another target; takes it out of the retry budget. */
export function mayRetry(
  flight: Flight,
  completion: Completion,
  now: number,
): boolean {
  const { pending, pool, held } = flight;
  const surelyNotRun = completion === "refused" ||
    completion === "unreachable";
  const harmless = surelyNotRun || pending.repeatable;
  const inTime = now + pool.run.meanMs <= pending.deadline;
  const others = [...pool.held.values()].some((other) =>
    other !== held && other.route.state === "serving" &&
    !pending.tried.includes(other.route.target)
  );
  return harmless && inTime && others && pool.budget.spend();
}

/** Requests at work on each target. */
export function countByTarget(flights: Iterable<Flight>): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { held } of flights) {
    const { target } = held.route;
    counts.set(target, (counts.get(target) ?? 0) + 1);
  }
  return counts;
}

/** The earliest deadline among the attempts whose callers wait. */
export function nextDeadline(flights: Iterable<Flight>): number {
  let earliest = Number.POSITIVE_INFINITY;
  for (const { settled, pending } of flights) {
    if (!settled) {
      earliest = Math.min(earliest, pending.deadline);
    }
  }
  return earliest;
}

/**
 * Admission of requests to the queues of one service. The limit follows from the slots held, so it rises and falls
 * with the capacity at once.
 *
 * @module
 */
import type { Fault } from "../fault.ts";
import { overnightMs, type Pool } from "./pool.ts";
import { type Moment, overloaded, tooLate } from "./refusals.ts";
import type { Priority } from "../names.ts";
import type { Submission } from "./submission.ts";

/** Live requests that may wait for each slot held. */
const LIVE_WAITING_PER_SLOT = 3;

/** Share of the queue that overnight requests may take, so that live ones need not displace them. */
const OVERNIGHT_QUEUE_SHARE = 0.5;

/** A live request gives up after waiting this many mean run times. */
const LIVE_PATIENCE_RUNS = 6;

/** The least time that a request waits before it gives up, unless its deadline is earlier. */
const MIN_PATIENCE_MS = 100;

/** How long a request waits at an entry that holds no slot, so that the leader can grant one. */
const GRANT_PATIENCE_MS = 1_000;

/** What an admission limit is computed from. */
export interface Load {
  service: string;
  slots: number;
  inFlight: number;
  /** Urgent and live requests that wait. */
  waiting: number;
  meanRunMs: number;
}

/** Decides how many urgent and live requests may wait, and learns from how long they did. */
export interface Admission {
  limit: (load: Load, now: number) => number;
  started: (load: Load, waitedMs: number, now: number) => void;
}

/** Admission in proportion to the slots held. */
export const capacityAdmission: Admission = {
  limit: (load) => LIVE_WAITING_PER_SLOT * Math.max(1, load.slots),
  started: () => {},
};

/** The present load of a service at this entry. */
export function loadOf(pool: Pool): Load {
  return {
    service: pool.service.name,
    slots: pool.slots,
    inFlight: pool.inFlight,
    waiting: pool.line.urgentAndLive,
    meanRunMs: pool.run.meanMs,
  };
}

/** Time until a new request would start. */
export function expectedWaitMs(
  pool: Pool,
  submission: Submission,
  now: number,
): number {
  const { priority, deadline } = submission;
  if (priority === "overnight") {
    const slots = Math.max(pool.overnightReserve, pool.overnightSlots(now));
    const count = pool.line.of(priority).length + 1;
    return overnightMs(pool, { count, slots, now });
  }
  const ahead = pool.line.ahead(priority, deadline) + 1;
  return ahead * pool.run.meanMs / Math.max(1, pool.slots);
}

/** Why a request cannot be queued, or undefined when it can. */
export function refusal(
  pool: Pool,
  submission: Submission,
  { admission, now, random }: Moment & { admission: Admission },
): Fault | undefined {
  const { priority, deadline } = submission;
  const waitMs = expectedWaitMs(pool, submission, now);
  if (now + waitMs + pool.run.meanMs > deadline) {
    return tooLate(pool, deadline, { now, random });
  }
  const full = pool.line.length >= pool.service.maxQueue ||
    isClassFull(pool, priority, { admission, now });
  return full ? overloaded(pool, { now, random }) : undefined;
}

function isClassFull(
  pool: Pool,
  priority: Priority,
  { admission, now }: { admission: Admission; now: number },
): boolean {
  const load = loadOf(pool);
  switch (priority) {
    case "urgent":
      return false;
    case "live":
      return load.waiting >= admission.limit(load, now);
    case "overnight":
      return pool.line.of(priority).length >=
        OVERNIGHT_QUEUE_SHARE * pool.service.maxQueue;
  }
}

/** Whether a request that starts now ends in time; overnight work is only taken when even a long run does. */
export function endsInTime(
  pool: Pool,
  { priority, deadline }: Submission,
  now: number,
): boolean {
  const { meanMs } = pool.run;
  const runMs = priority === "overnight"
    ? Math.max(meanMs, pool.run.longestMs(now))
    : meanMs;
  return now + runMs <= deadline;
}

/** Time from which it is useless to let a request wait. */
export function giveUpAt(
  pool: Pool,
  submission: Submission,
  now: number,
): number {
  const latestStart = submission.deadline - pool.run.meanMs;
  if (submission.priority !== "live") {
    return latestStart;
  }
  const patienceMs = pool.slots === 0
    ? GRANT_PATIENCE_MS
    : Math.max(MIN_PATIENCE_MS, LIVE_PATIENCE_RUNS * pool.run.meanMs);
  return Math.min(latestStart, now + patienceMs);
}

/**
 * Admission of requests to the queues of one service. The limit follows from the slots target, so it rises and falls
 * with the capacity at once.
 *
 * @module
 */
import type { Fault } from "../fault.ts";
import { overnightCompletionMs, type ServiceState } from "./service_state.ts";
import { type DecisionContext, overloaded, tooLate } from "./refusals.ts";
import type { Priority } from "../names.ts";
import type { Submission } from "./submission.ts";

/** Live requests that may wait for each slot target. */
const MAX_LIVE_WAITING_PER_SLOT = 3;

/** Share of the queue that overnight requests may take, so that live ones need not displace them. */
const MAX_OVERNIGHT_QUEUE_SHARE = 0.5;

/** A live request gives up after waiting this many mean run times. */
const MAX_LIVE_WAIT_RUNS = 6;

/** The least time that a request waits before it gives up, unless its deadline is earlier. */
const MIN_LIVE_WAIT_LIMIT_MS = 100;

/** How long a request waits at an entry that holds no slot, so that the leader can grant one. */
const GRANT_WAIT_LIMIT_MS = 1_000;

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

/** Admission in proportion to the slots target. */
export const capacityAdmission: Admission = {
  limit: (load) => MAX_LIVE_WAITING_PER_SLOT * Math.max(1, load.slots),
  started: () => {},
};

/** The present load of a service at this entry. */
export function loadOf(service: ServiceState): Load {
  return {
    service: service.config.name,
    slots: service.slots,
    inFlight: service.inFlight,
    waiting: service.queue.urgentAndLiveLength,
    meanRunMs: service.runTime.mean,
  };
}

/** Time until a new request would start. */
export function expectedWaitMs(
  service: ServiceState,
  submission: Submission,
  now: number,
): number {
  const { priority, deadline } = submission;
  if (priority === "overnight") {
    const slots = Math.max(
      service.overnightReservedSlots,
      service.overnightSpareSlots(now),
    );
    const count = service.queue.ofPriority(priority).length + 1;
    return overnightCompletionMs(service, { count, slots, now });
  }
  const ahead = service.queue.countAhead(priority, deadline) + 1;
  return ahead * service.runTime.mean / Math.max(1, service.slots);
}

/** Why a request cannot be queued, or undefined when it can. */
export function refusal(
  service: ServiceState,
  submission: Submission,
  { admission, now, random }: DecisionContext & { admission: Admission },
): Fault | undefined {
  const { priority, deadline } = submission;
  const waitMs = expectedWaitMs(service, submission, now);
  if (now + waitMs + service.runTime.mean > deadline) {
    return tooLate(service, deadline, { now, random });
  }
  const full = service.queue.length >= service.config.maxQueue ||
    isPriorityFull(service, priority, { admission, now });
  return full ? overloaded(service, { now, random }) : undefined;
}

function isPriorityFull(
  service: ServiceState,
  priority: Priority,
  { admission, now }: { admission: Admission; now: number },
): boolean {
  const load = loadOf(service);
  switch (priority) {
    case "urgent":
      return false;
    case "live":
      return load.waiting >= admission.limit(load, now);
    case "overnight":
      return service.queue.ofPriority(priority).length >=
        MAX_OVERNIGHT_QUEUE_SHARE * service.config.maxQueue;
  }
}

/** Whether a request that starts now ends in time; overnight work is only taken when even a long run does. */
export function meetsDeadline(
  service: ServiceState,
  { priority, deadline }: Submission,
  now: number,
): boolean {
  const { mean: meanMs } = service.runTime;
  const runMs = priority === "overnight"
    ? Math.max(meanMs, service.runTime.longest(now))
    : meanMs;
  return now + runMs <= deadline;
}

/** Time from which it is useless to let a request wait. */
export function queueDeadlineOf(
  service: ServiceState,
  submission: Submission,
  now: number,
): number {
  const latestStart = submission.deadline - service.runTime.mean;
  if (submission.priority !== "live") {
    return latestStart;
  }
  const waitLimitMs = service.slots === 0 ? GRANT_WAIT_LIMIT_MS : Math.max(
    MIN_LIVE_WAIT_LIMIT_MS,
    MAX_LIVE_WAIT_RUNS * service.runTime.mean,
  );
  return Math.min(latestStart, now + waitLimitMs);
}

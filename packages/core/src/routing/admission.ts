/**
 * Admission control for the queue of one service. The limit is proportional to the slots that the entry holds, so it
 * follows a change in capacity at once.
 *
 * @module
 */
import type { Fault } from "../fault.ts";
import { overnightCompletionMs, type ServiceState } from "./service_state.ts";
import { type DecisionContext, overloaded, tooLate } from "./refusals.ts";
import type { Priority } from "../names.ts";
import type { Submission } from "./router_types.ts";

/** Urgent and live requests that may wait per slot held. */
const MAX_LIVE_WAITING_PER_SLOT = 3;

/** Share of the queue that overnight requests may fill, so that live requests rarely have to evict them. */
const MAX_OVERNIGHT_QUEUE_SHARE = 0.5;

/** Longest wait of a live request, in mean run times. */
const MAX_LIVE_WAIT_RUNS = 6;

/** Lower bound of the longest wait of a live request; its deadline may still end the wait earlier. */
const MIN_LIVE_WAIT_LIMIT_MS = 100;

/** Longest wait of a live request at an entry without slots; leaves the leader time to grant one. */
const GRANT_WAIT_LIMIT_MS = 1_000;

/** Load of one service at this entry, from which the admission limit is computed. */
export interface ServiceLoad {
  service: string;
  slots: number;
  inFlight: number;
  /** Number of urgent and live requests in the queue. */
  waiting: number;
  meanRunMs: number;
}

/** Admission policy for urgent and live requests. */
export interface Admission {
  /** How many requests may wait. */
  limit: (load: ServiceLoad, now: number) => number;
  /** Called when a queued request starts, with the time it waited, in milliseconds. */
  started: (load: ServiceLoad, waitedMs: number, now: number) => void;
}

/** Limit proportional to the slots held. */
export const capacityAdmission: Admission = {
  limit: (load) => MAX_LIVE_WAITING_PER_SLOT * Math.max(1, load.slots),
  started: () => {},
};

/** Current load of a service at this entry. */
export function loadOf(service: ServiceState): ServiceLoad {
  return {
    service: service.config.name,
    slots: service.slots,
    inFlight: service.inFlight,
    waiting: service.queue.urgentAndLiveLength,
    meanRunMs: service.runTime.mean,
  };
}

/** Expected time in the queue of a new request, in milliseconds. */
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

/** The fault that refuses a request, or undefined when it may be queued. */
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

/** Whether a request that starts now ends by its deadline, given the mean run time (overnight: the longest recent). */
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

/** Latest time at which a request may still start; it is refused when it is queued until then. */
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

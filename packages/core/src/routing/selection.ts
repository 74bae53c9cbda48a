/**
 * Selection of the next request of a service and of its target among those at which this entry holds slots.
 *
 * @module
 */
import type { ServiceState, TargetState } from "./service_state.ts";
import type { DecisionContext } from "./refusals.ts";
import type { PendingRequest } from "./request_queue.ts";

/** Weight of the failure share in the cost of a target, added to the weight of 1 of its run time. */
const FAILURE_PENALTY = 10;

/** Random share added to costs, so that entries do not all prefer the same target. */
const COST_JITTER = 0.1;

/** A target counts as slow when it takes this multiple of the service's mean run time. */
const SLOW_FACTOR = 3;

/** After this time without use, the statistics of a target lose half of their weight. */
const STALE_AFTER_MS = 5_000;

/** A request and the target selected for it. */
export interface Match {
  request: PendingRequest;
  target: TargetState;
}

/**
 * The next request to start and its target, if any. Order: urgent, overnight requests that are due, live, other
 * overnight requests.
 */
export function nextMatch(
  service: ServiceState,
  context: DecisionContext,
): Match | undefined {
  if (service.queue.length === 0 || !hasAnyFreeSlot(service, context.now)) {
    return undefined;
  }
  return matchFirst(service, service.queue.ofPriority("urgent"), context) ??
    matchFirst(service, overnightAheadOfLive(service, context.now), context) ??
    matchFirst(service, service.queue.ofPriority("live"), context) ??
    matchFirst(service, overnightInSpareSlots(service, context.now), context);
}

/** Whether a target can take one more request of this entry. */
export function hasFreeSlot(target: TargetState, now: number): boolean {
  return target.route.state === "serving" &&
    target.inFlight < Math.min(target.allowance, target.health.limit(now));
}

/** Whether any target of the service can take one more request. */
export function hasAnyFreeSlot(service: ServiceState, now: number): boolean {
  for (const target of service.targets.values()) {
    if (hasFreeSlot(target, now)) {
      return true;
    }
  }
  return false;
}

/** Selects the cheapest target for a request; undefined when none is free or waiting for another is faster. */
export function chooseTarget(
  service: ServiceState,
  request: PendingRequest,
  context: DecisionContext,
): TargetState | undefined {
  let best: TargetState | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const target of service.targets.values()) {
    const tried = request.tried.includes(target.route.target);
    if (tried || !hasFreeSlot(target, context.now)) {
      continue;
    }
    if (!target.health.isInRotation) {
      if (request.repeatable) {
        return target;
      }
      continue;
    }
    const cost = costOf(target, context);
    if (cost < bestCost) {
      best = target;
      bestCost = cost;
    }
  }
  const isBetterToWait = best !== undefined &&
    isWaitingFaster(service, best, request);
  return isBetterToWait ? undefined : best;
}

function matchFirst(
  service: ServiceState,
  queue: readonly PendingRequest[],
  context: DecisionContext,
): Match | undefined {
  for (const request of queue) {
    const target = chooseTarget(service, request, context);
    if (target !== undefined) {
      return { request, target };
    }
    if (request.tried.length === 0) {
      return undefined;
    }
  }
  return undefined;
}

/** Overnight requests that must start ahead of live ones to end by their deadlines. */
function overnightAheadOfLive(
  service: ServiceState,
  now: number,
): readonly PendingRequest[] {
  return service.overnightInFlight < service.overnightSlotsAheadOfLive(now)
    ? service.queue.ofPriority("overnight")
    : [];
}

/** Overnight requests, while live requests leave slots free. */
function overnightInSpareSlots(
  service: ServiceState,
  now: number,
): readonly PendingRequest[] {
  return service.overnightInFlight < service.overnightSpareSlots(now)
    ? service.queue.ofPriority("overnight")
    : [];
}

/** Relative run time weighted by the load and failures at the target. Decays statistics that are stale. */
function costOf(target: TargetState, { now, random }: DecisionContext): number {
  if (now - target.usedAt > STALE_AFTER_MS) {
    target.relativeRunTime.decayTowards(1, 0.5);
    target.health.decay();
    target.usedAt = now;
  }
  const loadFactor = 1 + target.inFlight / target.allowance;
  const failureFactor = 1 +
    FAILURE_PENALTY * target.health.smoothedFailureShare;
  return target.relativeRunTime.mean * loadFactor * failureFactor *
    (1 + COST_JITTER * random());
}

/** Whether waiting for another target is expected to be faster than starting at once on a slow one. */
function isWaitingFaster(
  service: ServiceState,
  target: TargetState,
  request: PendingRequest,
): boolean {
  const meanMs = service.runTime.mean;
  const inFlightElsewhere = service.inFlight - target.inFlight;
  const isSlow = target.relativeRunTime.mean > SLOW_FACTOR;
  if (request.priority === "overnight" || inFlightElsewhere <= 0 || !isSlow) {
    return false;
  }
  const waitMs = (service.queue.urgentAndLiveLength + 1) * meanMs /
    inFlightElsewhere;
  return waitMs + meanMs < target.relativeRunTime.mean * meanMs;
}

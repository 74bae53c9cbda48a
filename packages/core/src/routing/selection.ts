/**
 * Choice of the next request of a service and of its target among the slots that this entry holds.
 *
 * @module
 */
import type { ServiceState, TargetState } from "./service_state.ts";
import type { DecisionContext } from "./refusals.ts";
import type { PendingRequest } from "./request_queue.ts";

/** How much more a failing target costs than its run time says. */
const FAILURE_PENALTY = 10;

/** Share by which equal targets are told apart at random, so that entries do not choose alike. */
const COST_JITTER = 0.1;

/** A target this many times slower than the service's mean counts as slow. */
const SLOW_FACTOR = 3;

/** After this long without use, what is known about a target counts half. */
const STALE_AFTER_MS = 5_000;

/** A request and the target that has a slot for it. */
export interface Match {
  request: PendingRequest;
  target: TargetState;
}

/** The next request to start and its target, or none. */
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

/** Whether a target has a slot for one more request of this entry. */
export function hasFreeSlot(target: TargetState, now: number): boolean {
  return target.route.state === "serving" &&
    target.inFlight < Math.min(target.allowance, target.health.limit(now));
}

/** Whether any target of the service has a slot. */
export function hasAnyFreeSlot(service: ServiceState, now: number): boolean {
  for (const target of service.targets.values()) {
    if (hasFreeSlot(target, now)) {
      return true;
    }
  }
  return false;
}

/** Picks the target for a request, or none when it is better off waiting. */
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

/** Overnight work that has to go ahead of live work to end by its hour. */
function overnightAheadOfLive(
  service: ServiceState,
  now: number,
): readonly PendingRequest[] {
  return service.overnightInFlight < service.overnightSlotsAheadOfLive(now)
    ? service.queue.ofPriority("overnight")
    : [];
}

/** Overnight work, while there are slots that live work has left free lately. */
function overnightInSpareSlots(
  service: ServiceState,
  now: number,
): readonly PendingRequest[] {
  return service.overnightInFlight < service.overnightSpareSlots(now)
    ? service.queue.ofPriority("overnight")
    : [];
}

/** Expected run time, raised by the load and the failures at the target. */
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

/** Whether waiting for another target beats starting at once on a slow one. */
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

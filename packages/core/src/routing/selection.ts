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
const JITTER = 0.1;

/** A target this many times slower than the service's mean counts as slow. */
const SLOW_FACTOR = 3;

/** After this long without use, what is known about a target counts half. */
const RELAX_AFTER_MS = 5_000;

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
  if (service.queue.length === 0 || !anyFree(service, context.now)) {
    return undefined;
  }
  return match(service, service.queue.of("urgent"), context) ??
    match(service, dueOvernight(service, context.now), context) ??
    match(service, service.queue.of("live"), context) ??
    match(service, spareOvernight(service, context.now), context);
}

/** Whether a target has a slot for one more request of this entry. */
export function hasFreeSlot(target: TargetState, now: number): boolean {
  return target.route.state === "serving" &&
    target.inFlight < Math.min(target.allowance, target.health.limit(now));
}

/** Whether any target of the service has a slot. */
export function anyFree(service: ServiceState, now: number): boolean {
  for (const target of service.targets.values()) {
    if (hasFreeSlot(target, now)) {
      return true;
    }
  }
  return false;
}

/** Picks the target for a request, or none when it is better off waiting. */
export function choose(
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
    if (!target.health.carries) {
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
  const wait = best !== undefined && waitsBetter(service, best, request);
  return wait ? undefined : best;
}

function match(
  service: ServiceState,
  queue: readonly PendingRequest[],
  context: DecisionContext,
): Match | undefined {
  for (const request of queue) {
    const target = choose(service, request, context);
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
function dueOvernight(
  service: ServiceState,
  now: number,
): readonly PendingRequest[] {
  return service.overnightInFlight < service.overnightDue(now)
    ? service.queue.of("overnight")
    : [];
}

/** Overnight work, while there are slots that live work has left free lately. */
function spareOvernight(
  service: ServiceState,
  now: number,
): readonly PendingRequest[] {
  return service.overnightInFlight < service.overnightSlots(now)
    ? service.queue.of("overnight")
    : [];
}

/** Expected run time, raised by the load and the failures at the target. */
function costOf(target: TargetState, { now, random }: DecisionContext): number {
  if (now - target.usedAt > RELAX_AFTER_MS) {
    target.relativeRunTime.relax(1, 0.5);
    target.health.fade();
    target.usedAt = now;
  }
  const busy = 1 + target.inFlight / target.allowance;
  const failing = 1 + FAILURE_PENALTY * target.health.suspicion;
  return target.relativeRunTime.mean * busy * failing * (1 + JITTER * random());
}

/** Whether waiting for another target beats starting at once on a slow one. */
function waitsBetter(
  service: ServiceState,
  target: TargetState,
  request: PendingRequest,
): boolean {
  const meanMs = service.runTime.mean;
  const othersBusy = service.inFlight - target.inFlight;
  const slow = target.relativeRunTime.mean > SLOW_FACTOR;
  if (request.priority === "overnight" || othersBusy <= 0 || !slow) {
    return false;
  }
  const waitMs = (service.queue.urgentAndLive + 1) * meanMs / othersBusy;
  return waitMs + meanMs < target.relativeRunTime.mean * meanMs;
}

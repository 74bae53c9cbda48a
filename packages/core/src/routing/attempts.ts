/**
 * Attempts in flight: they take and free slots, and their results update run times, health and the retry budget.
 *
 * @module
 */
import { ejectIfCapacityAllows } from "./ejection.ts";
import type { ServiceState, TargetState } from "./service_state.ts";
import type { Completion } from "./router_types.ts";
import type { PendingRequest } from "./request_queue.ts";

/** An attempt that occupies a slot. */
export interface Attempt {
  request: PendingRequest;
  service: ServiceState;
  target: TargetState;
  sentAt: number;
  /** Whether the caller was answered or disconnected; the slot stays taken until the attempt ends. */
  callerDone: boolean;
  /** Whether the deadline passed without an answer. */
  timedOut: boolean;
}

/** Takes a slot for a request. */
export function startAttempt(
  service: ServiceState,
  request: PendingRequest,
  { target, now }: { target: TargetState; now: number },
): Attempt {
  target.inFlight += 1;
  target.usedAt = now;
  target.health.recordSent(now);
  if (request.priority === "overnight") {
    service.overnightInFlight += 1;
  } else {
    service.liveInFlight += 1;
  }
  if (request.attempt === 1) {
    service.retryBudget.deposit();
  }
  return {
    request,
    service,
    target,
    sentAt: now,
    callerDone: false,
    timedOut: false,
  };
}

/** Frees the slot of an attempt. */
export function releaseSlot(attempt: Attempt): void {
  const { service, target, request } = attempt;
  target.inFlight -= 1;
  if (request.priority === "overnight") {
    service.overnightInFlight -= 1;
  } else {
    service.liveInFlight -= 1;
  }
  if (target.inFlight === 0 && target.route.state === "absent") {
    service.targets.delete(target.route.target);
  }
}

/** Updates the run times and the health of the target with the result of an attempt. */
export function recordCompletion(
  attempt: Attempt,
  completion: Completion,
  now: number,
): void {
  const { service, target, sentAt, timedOut } = attempt;
  const runMs = now - sentAt;
  switch (completion) {
    case "ok":
      service.runTime.observe(runMs, now);
      target.relativeRunTime.observe(runMs / service.runTime.mean, now);
      if (!timedOut) {
        target.health.recordSuccess(now);
      }
      return;
    case "failed":
    case "refused":
    case "unreachable":
      if (!timedOut) {
        target.health.recordFailure(now, false);
        ejectIfCapacityAllows(service, target, now);
      }
      return;
    default:
      target.health.recordUnsent();
  }
}

/** Records that an attempt missed its deadline, as a failure of the target. */
export function recordTimeout(attempt: Attempt, now: number): void {
  attempt.callerDone = true;
  attempt.timedOut = true;
  attempt.target.health.recordFailure(now, true);
  ejectIfCapacityAllows(attempt.service, attempt.target, now);
}

/** Records that an attempt may have run, so that no later answer claims that the request did not run. */
export function recordMayHaveRun(
  attempt: Attempt,
  completion: Completion,
): void {
  if (completion === "failed") {
    attempt.request.mayHaveRun = completion;
  }
}

/** Whether a request may be retried on another target; if so, withdraws the retry from the budget. */
export function mayRetry(
  attempt: Attempt,
  completion: Completion,
  now: number,
): boolean {
  const { request, service, target } = attempt;
  const didNotRun = completion === "refused" ||
    completion === "unreachable";
  const isSafe = didNotRun || request.repeatable;
  const meetsDeadline = now + service.runTime.mean <= request.deadline;
  const hasOtherTarget = [...service.targets.values()].some((other) =>
    other !== target && other.route.state === "serving" &&
    !request.tried.includes(other.route.target)
  );
  return isSafe && meetsDeadline && hasOtherTarget &&
    service.retryBudget.withdraw();
}

/** Number of attempts in flight per target. */
export function countByTarget(
  attempts: Iterable<Attempt>,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { target } of attempts) {
    const { target: name } = target.route;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
}

/** The earliest deadline among the attempts whose callers still wait; infinite when there is none. */
export function nextDeadline(attempts: Iterable<Attempt>): number {
  let earliest = Number.POSITIVE_INFINITY;
  for (const { callerDone, request } of attempts) {
    if (!callerDone) {
      earliest = Math.min(earliest, request.deadline);
    }
  }
  return earliest;
}

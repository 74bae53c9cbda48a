/**
 * Faults by which the router refuses or times out requests; most tell the caller when to retry.
 *
 * @module
 */
import { type Fault, fault } from "../fault.ts";
import type { ServiceState } from "./service_state.ts";
import type { RoutingDecision } from "./router_types.ts";
import type { PendingRequest } from "./request_queue.ts";

const NO_TARGET_RETRY_MS = 2_000;
const NO_LEASE_RETRY_MS = 1_000;
const MIN_RETRY_AFTER_MS = 1_000;
const MAX_RETRY_AFTER_MS = 30_000;

/** Jitter of retry-after times, as a share. */
const RETRY_AFTER_JITTER = 0.5;

/** Current time and a source of random numbers in [0, 1). */
export interface DecisionContext {
  now: number;
  random: () => number;
}

/** The final answer to a request that will not be sent: the fault if it did not run, else its earlier failure. */
export function reject(request: PendingRequest, fault: Fault): RoutingDecision {
  const { id, mayHaveRun } = request;
  return mayHaveRun === undefined
    ? { kind: "refuse", id, fault }
    : { kind: "fail", id, completion: mayHaveRun, mayHaveRun: true };
}

/** The fault for a service that is not configured. */
export function unknownService(name: string): Fault {
  return fault("unknown_service", `Service "${name}" does not exist`, {
    outcome: "not run",
  });
}

/** The fault for an entry without a valid lease. */
export function noLease(): Fault {
  return fault("no_lease", "This entry has no lease from the leader", {
    outcome: "not run",
    retryAfterMs: NO_LEASE_RETRY_MS,
  });
}

/** The fault for a service without a serving target. */
export function noTarget(name: string): Fault {
  return fault("no_target", `Service "${name}" has no serving target`, {
    outcome: "not run",
    retryAfterMs: NO_TARGET_RETRY_MS,
  });
}

/** The fault for a request beyond the current capacity. */
export function overloaded(
  service: ServiceState,
  context: DecisionContext,
): Fault {
  return fault(
    "overloaded",
    `Service "${service.config.name}" has no free slot and ${service.queue.length} requests wait`,
    { outcome: "not run", retryAfterMs: retryAfterMs(service, context) },
  );
}

/** The fault for a request that is not expected to end by its deadline. */
export function tooLate(
  service: ServiceState,
  deadline: number,
  context: DecisionContext,
): Fault {
  const leftMs = Math.max(0, Math.round(deadline - context.now));
  return fault(
    "expired",
    `Service "${service.config.name}" cannot answer within the ${leftMs} ms left of the deadline`,
    { outcome: "not run", retryAfterMs: retryAfterMs(service, context) },
  );
}

/** The fault for a request whose target did not answer by the deadline. */
export function timedOut(service: string, target: string): Fault {
  return fault(
    "timeout",
    `Target "${target}" of service "${service}" did not answer by the deadline`,
    { outcome: "unknown" },
  );
}

/**
 * Expected time until the queue has drained, multiplied by the ratio of load to capacity during an overload. Jitter
 * keeps callers from retrying at the same time.
 */
function retryAfterMs(
  service: ServiceState,
  { now, random }: DecisionContext,
): number {
  const slots = Math.max(1, service.slots);
  const drainMs = (service.queue.length + 1) * service.runTime.mean / slots;
  const overloadFactor = Math.max(1, service.liveNeed(now) / slots);
  const base = Math.max(MIN_RETRY_AFTER_MS, drainMs) * overloadFactor;
  const jitterFactor = 1 + RETRY_AFTER_JITTER * random();
  return Math.round(Math.min(MAX_RETRY_AFTER_MS, base * jitterFactor));
}

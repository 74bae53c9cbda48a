/**
 * Summaries of a service: for the leader (slots needed) and for status and health reports.
 *
 * @module
 */
import type { HealthState } from "./health.ts";
import type { ServiceState } from "./service_state.ts";
import type { SlotNeed } from "./slot_report.ts";
import type { Route } from "./router_types.ts";

/** State of one target at this entry. */
export interface TargetDescription {
  target: string;
  state: Route["state"];
  standing: HealthState;
  allowance: number;
  inFlight: number;
  failureShare: number;
  meanRunMs: number;
}

/** State of one service at this entry. */
export interface ServiceDescription {
  service: string;
  slots: number;
  liveInFlight: number;
  overnightInFlight: number;
  waiting: { urgent: number; live: number; overnight: number };
  meanRunMs: number;
  /** Mean number of slots that urgent and live requests need, whether served or refused. */
  liveNeed: number;
  availableRetries: number;
  targets: TargetDescription[];
}

/** Describes a service and its targets at this entry. */
export function describeService(
  service: ServiceState,
  now: number,
): ServiceDescription {
  return {
    service: service.config.name,
    slots: service.slots,
    liveInFlight: service.liveInFlight,
    overnightInFlight: service.overnightInFlight,
    waiting: {
      urgent: service.queue.ofPriority("urgent").length,
      live: service.queue.ofPriority("live").length,
      overnight: service.queue.ofPriority("overnight").length,
    },
    meanRunMs: service.runTime.mean,
    liveNeed: service.liveNeed(now),
    availableRetries: service.retryBudget.balance,
    targets: [...service.targets.values()].map((target) => ({
      target: target.route.target,
      state: target.route.state,
      standing: target.health.state,
      allowance: target.allowance,
      inFlight: target.inFlight,
      failureShare: target.health.failureShare,
      meanRunMs: target.relativeRunTime.mean * service.runTime.mean,
    })),
  };
}

/** Slots needed by each service that has current or recent requests, for the report to the leader. */
export function needsOf(
  services: Iterable<ServiceState>,
  now: number,
): Record<string, SlotNeed> {
  const needs: Record<string, SlotNeed> = {};
  for (const service of services) {
    const need = needOf(service, now);
    const { live, overnight, waiting, longestRunMs } = need;
    const level = live + overnight + waiting + longestRunMs;
    if (level + service.liveInFlight > 0) {
      needs[service.config.name] = need;
    }
  }
  return needs;
}

function needOf(service: ServiceState, now: number): SlotNeed {
  const overnight = service.overnightInFlight +
    service.queue.ofPriority("overnight").length;
  return {
    live: round(service.liveNeed(now)),
    overnight,
    waiting: service.queue.length,
    longestRunMs: Math.round(service.runTime.longest(now)),
  };
}

/** Needs are rounded to hundredths of a slot. */
const ROUNDING_STEPS_PER_SLOT = 100;

function round(slots: number): number {
  return Math.round(slots * ROUNDING_STEPS_PER_SLOT) / ROUNDING_STEPS_PER_SLOT;
}

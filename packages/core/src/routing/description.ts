/**
 * Snapshots of a service for reports to the leader and for the status page.
 *
 * @module
 */
import type { Standing } from "./health.ts";
import type { ServiceState } from "./service_state.ts";
import type { SlotNeed } from "./slot_report.ts";
import type { Route } from "./submission.ts";

/** One target as the status page shows it. */
export interface TargetDescription {
  target: string;
  state: Route["state"];
  standing: Standing;
  allowance: number;
  inFlight: number;
  failureShare: number;
  meanRunMs: number;
}

/** One service as the status page shows it. */
export interface PoolDescription {
  service: string;
  slots: number;
  liveInFlight: number;
  overnightInFlight: number;
  waiting: { urgent: number; live: number; overnight: number };
  meanRunMs: number;
  /** Mean number of slots that urgent and live callers ask for. */
  liveNeed: number;
  savedRetries: number;
  targets: TargetDescription[];
}

/** Describes a service for the status page. */
export function describeService(
  service: ServiceState,
  now: number,
): PoolDescription {
  return {
    service: service.config.name,
    slots: service.slots,
    liveInFlight: service.liveInFlight,
    overnightInFlight: service.overnightInFlight,
    waiting: {
      urgent: service.queue.of("urgent").length,
      live: service.queue.of("live").length,
      overnight: service.queue.of("overnight").length,
    },
    meanRunMs: service.runTime.mean,
    liveNeed: service.liveNeed(now),
    savedRetries: service.budget.saved,
    targets: [...service.targets.values()].map((target) => ({
      target: target.route.target,
      state: target.route.state,
      standing: target.health.standing,
      allowance: target.allowance,
      inFlight: target.inFlight,
      failureShare: target.health.failureShare,
      meanRunMs: target.relativeRunTime.mean * service.runTime.mean,
    })),
  };
}

/** What an entry needs of each service that it has or lately had work for, for the report to the leader. */
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
    service.queue.of("overnight").length;
  return {
    live: round(service.liveNeed(now)),
    overnight,
    waiting: service.queue.length,
    longestRunMs: Math.round(service.runTime.longest(now)),
  };
}

const STEPS_PER_SLOT = 100;

function round(slots: number): number {
  return Math.round(slots * STEPS_PER_SLOT) / STEPS_PER_SLOT;
}

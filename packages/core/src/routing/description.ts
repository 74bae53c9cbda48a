/**
 * Snapshots of a pool for reports to the leader and for the status page.
 *
 * @module
 */
import type { Standing } from "./health.ts";
import type { Pool } from "./pool.ts";
import type { SlotNeed } from "./slot_report.ts";
import type { Route } from "./submission.ts";

/** One target as the status page shows it. */
export interface HeldDescription {
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
  targets: HeldDescription[];
}

/** Describes a pool for the status page. */
export function describePool(pool: Pool, now: number): PoolDescription {
  return {
    service: pool.service.name,
    slots: pool.slots,
    liveInFlight: pool.liveInFlight,
    overnightInFlight: pool.overnightInFlight,
    waiting: {
      urgent: pool.line.of("urgent").length,
      live: pool.line.of("live").length,
      overnight: pool.line.of("overnight").length,
    },
    meanRunMs: pool.run.meanMs,
    liveNeed: pool.liveNeed(now),
    savedRetries: pool.budget.saved,
    targets: [...pool.held.values()].map((held) => ({
      target: held.route.target,
      state: held.route.state,
      standing: held.health.standing,
      allowance: held.allowance,
      inFlight: held.inFlight,
      failureShare: held.health.failureShare,
      meanRunMs: held.pace.meanMs * pool.run.meanMs,
    })),
  };
}

/** What an entry needs of each service that it has or lately had work for, for the report to the leader. */
export function needsOf(
  pools: Iterable<Pool>,
  now: number,
): Record<string, SlotNeed> {
  const needs: Record<string, SlotNeed> = {};
  for (const pool of pools) {
    const need = needOf(pool, now);
    const { live, overnight, waiting, longestRunMs } = need;
    const level = live + overnight + waiting + longestRunMs;
    if (level + pool.liveInFlight > 0) {
      needs[pool.service.name] = need;
    }
  }
  return needs;
}

function needOf(pool: Pool, now: number): SlotNeed {
  const overnight = pool.overnightInFlight + pool.line.of("overnight").length;
  return {
    live: round(pool.liveNeed(now)),
    overnight,
    waiting: pool.line.length,
    longestRunMs: Math.round(pool.run.longestMs(now)),
  };
}

const STEPS_PER_SLOT = 100;

function round(slots: number): number {
  return Math.round(slots * STEPS_PER_SLOT) / STEPS_PER_SLOT;
}

/**
 * Admission by queueing delay, as a credit pool with additive increase and multiplicative decrease (Cho et al.,
 * "Overload control for microsecond-scale RPCs with Breakwater", OSDI 2020), with or without the change proposed in
 * "Interactions between overload control and core allocation at microsecond timescales" (SIGCOMM 2023 poster): the
 * pool grows in proportion to added slots, and its minimum is derived from the slots and the round trip.
 *
 * @module
 */
import type { Admission, ServiceLoad } from "@quetzalcove/core";

const CREDIT_INCREASE = 1;
const DECREASE_RATE = 0.08;
const MIN_DECREASE_FACTOR = 0.5;
const ROUND_TRIP_MS = 2.5;

/** Target queueing delay, as a multiple of the mean run time. */
const TARGET_DELAY_RUNS = 1;

interface Credits {
  pool: number;
  slots: number;
  worstDelayMs: number;
  adjustedAt: number;
}

/** Creates the admission of one entry. */
export function queueingAdmission(proportional: boolean): Admission {
  const services = new Map<string, Credits>();
  const creditsOf = (load: ServiceLoad): Credits => {
    const known = services.get(load.service);
    if (known !== undefined) {
      return known;
    }
    const credits = {
      pool: load.slots,
      slots: load.slots,
      worstDelayMs: 0,
      adjustedAt: 0,
    };
    services.set(load.service, credits);
    return credits;
  };
  return {
    limit: (load, now) => {
      const credits = creditsOf(load);
      updateSlots(credits, load, proportional);
      adjust(credits, load, now);
      return credits.pool - load.inFlight;
    },
    started: (load, waitedMs, now) => {
      const credits = creditsOf(load);
      credits.worstDelayMs = Math.max(credits.worstDelayMs, waitedMs);
      adjust(credits, load, now);
    },
  };
}

/** Adapts the credit pool to a changed number of slots. */
function updateSlots(
  credits: Credits,
  load: ServiceLoad,
  proportional: boolean,
): void {
  const added = load.slots - credits.slots;
  if (proportional && added > 0 && credits.slots > 0) {
    credits.pool += added * credits.pool / credits.slots;
  }
  credits.slots = load.slots;
  const floor = proportional
    ? load.slots * (1 + ROUND_TRIP_MS / load.meanRunMs)
    : 1;
  credits.pool = Math.max(credits.pool, floor);
}

/** Adjusts the pool at most once per mean run time, by the worst delay since the last adjustment. */
function adjust(credits: Credits, load: ServiceLoad, now: number): void {
  if (now - credits.adjustedAt < load.meanRunMs) {
    return;
  }
  const targetMs = TARGET_DELAY_RUNS * load.meanRunMs;
  const excess = (credits.worstDelayMs - targetMs) / targetMs;
  credits.pool = excess < 0
    ? credits.pool + CREDIT_INCREASE
    : credits.pool * Math.max(MIN_DECREASE_FACTOR, 1 - DECREASE_RATE * excess);
  credits.worstDelayMs = 0;
  credits.adjustedAt = now;
}

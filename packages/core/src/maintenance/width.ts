/**
 * How many VMs a wave takes. The weights set a width by a square-root rule; the time that is left in the round can
 * only raise it, and a canary and growing steps lead up to it.
 *
 * @module
 */
import type { Maintenance } from "../rules.ts";
import type { Rollout } from "./rollout.ts";

const DAY_MS = 86_400_000;
/** Share of the period in which a round should end, so that no VM waits longer than a period between two rounds. */
export const ROUND_SHARE = 0.25;
/** Share of the longest wave that waves are expected to take. */
const EXPECTED_SHARE = 0.5;

/** How much wider each wave after the canary may be than the one before. */
const RAMP = 4;
const MAX_RAMP_STEPS = 10;

/** What the width depends on. */
export interface Demand {
  /** VMs in the fleet. */
  fleet: number;
  /** VMs that are still due in this round. */
  due: number;
  now: number;
}

/** The most VMs that the next wave should take; the capacity check may allow fewer. */
export function waveWidth(
  rules: Maintenance,
  rollout: Rollout,
  demand: Demand,
): number {
  if (rollout.passed === 0) {
    return Math.min(rules.canary, rules.maxWidth);
  }
  const ramp = rules.canary * RAMP ** Math.min(rollout.passed, MAX_RAMP_STEPS);
  const wanted = Math.max(
    weighedWidth(rules, demand.fleet),
    pressedWidth(rules, rollout, demand),
  );
  return Math.max(1, Math.min(ramp, wanted, rules.maxWidth));
}

/**
 * The width k that minimises buffer * k/n + rollout / k, the weighted sum of the share of the fleet that is out and
 * of the round's length relative to one VM at a time.
 */
export function weighedWidth(rules: Maintenance, fleet: number): number {
  const { buffer, rollout } = rules.weights;
  if (buffer === 0) {
    return fleet;
  }
  return Math.max(1, Math.round(Math.sqrt(rollout / buffer * fleet)));
}

/** The width that still ends the round in time. */
function pressedWidth(
  rules: Maintenance,
  rollout: Rollout,
  demand: Demand,
): number {
  const end = rollout.startedAt + rules.periodMs * ROUND_SHARE;
  const left = (end - demand.now) * openShare(rules);
  const waves = Math.max(1, left / expectedWaveMs(rules));
  return Math.ceil(demand.due / waves);
}

function expectedWaveMs(rules: Maintenance): number {
  return rules.bakeMs + EXPECTED_SHARE * longestStopMs(rules);
}

/** The longest time from the start of a wave until its last VM is back or counts as failed. */
export function longestStopMs(rules: Maintenance): number {
  return rules.drainTimeoutMs + rules.rebootTimeoutMs;
}

function openShare(rules: Maintenance): number {
  if (rules.windows.length === 0) {
    return 1;
  }
  const minutes = rules.windows.map((window) => {
    const length = minutesOf(window.to) - minutesOf(window.from);
    return length > 0 ? length : length + 1_440;
  });
  const open = minutes.reduce((sum, length) => sum + length, 0);
  return Math.min(1, open * 60_000 / DAY_MS);
}

function minutesOf(text: string): number {
  const [hours = 0, minutes = 0] = text.split(":").map(Number);
  return hours * 60 + minutes;
}

/**
 * The number of VMs in a wave. The weights determine a width by a square-root rule, which the remaining time of the
 * round can only raise. A round starts with a canary, and the waves grow stepwise up to the width.
 *
 * @module
 */
import type { Maintenance } from "../rules.ts";
import type { Rollout } from "./rollout.ts";

const DAY_MS = 86_400_000;
/** Share of the period within which a round should end, so that no VM waits longer than a period for the next one. */
export const ROUND_PERIOD_SHARE = 0.25;
/** Expected duration of a wave's stops as a share of the longest. */
const EXPECTED_STOP_SHARE = 0.5;

/** Factor by which each wave may be wider than the one before. */
const RAMP_FACTOR = 4;
/** Bounds the exponent of the ramp. */
const MAX_RAMP_STEPS = 10;

/** State of the fleet and the round. */
export interface WidthInput {
  /** VMs in the fleet. */
  fleet: number;
  /** VMs that are still due in this round. */
  due: number;
  /** Wall-clock time in milliseconds. */
  now: number;
}

/** Most VMs that the next wave may take; the capacity check may allow fewer. */
export function waveWidth(
  rules: Maintenance,
  rollout: Rollout,
  input: WidthInput,
): number {
  if (rollout.passed === 0) {
    return Math.min(rules.canary, rules.maxWidth);
  }
  const ramp = rules.canary *
    RAMP_FACTOR ** Math.min(rollout.passed, MAX_RAMP_STEPS);
  const target = Math.max(
    weightedWidth(rules, input.fleet),
    deadlineWidth(rules, rollout, input),
  );
  return Math.max(1, Math.min(ramp, target, rules.maxWidth));
}

/**
 * The width k that minimises buffer * k/n + rollout / k for a fleet of n VMs: the weighted sum of the share of the
 * fleet that is out of service and of the round's duration relative to one VM at a time.
 */
export function weightedWidth(rules: Maintenance, fleet: number): number {
  const { buffer, rollout } = rules.weights;
  if (buffer === 0) {
    return fleet;
  }
  return Math.max(1, Math.round(Math.sqrt(rollout / buffer * fleet)));
}

/** The smallest width that still ends the round in time. */
function deadlineWidth(
  rules: Maintenance,
  rollout: Rollout,
  input: WidthInput,
): number {
  const end = rollout.startedAt + rules.periodMs * ROUND_PERIOD_SHARE;
  const leftMs = (end - input.now) * windowShare(rules);
  const waves = Math.max(1, leftMs / expectedWaveMs(rules));
  return Math.ceil(input.due / waves);
}

function expectedWaveMs(rules: Maintenance): number {
  return rules.bakeMs + EXPECTED_STOP_SHARE * longestStopMs(rules);
}

/** Longest time from the start of a wave until its last VM is back in service or counts as failed. */
export function longestStopMs(rules: Maintenance): number {
  return rules.drainTimeoutMs + rules.rebootTimeoutMs;
}

/** Share of the day in which maintenance windows are open. */
function windowShare(rules: Maintenance): number {
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

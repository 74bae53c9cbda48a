/**
 * Daily maintenance windows in UTC.
 *
 * @module
 */
import type { MaintenanceWindow } from "../rules.ts";

const MINUTE_MS = 60_000;
const DAY_MS = 86_400_000;

/** How long maintenance may still run from `now`, in milliseconds: 0 outside all windows, infinite without windows. */
export function windowRemainingMs(
  windows: readonly MaintenanceWindow[],
  now: number,
): number {
  if (windows.length === 0) {
    return Number.POSITIVE_INFINITY;
  }
  return Math.max(...windows.map((window) => remainingOf(window, now)));
}

function remainingOf(window: MaintenanceWindow, now: number): number {
  const from = timeOfDayMs(window.from);
  const lengthMs = modulo(timeOfDayMs(window.to) - from, DAY_MS) || DAY_MS;
  const elapsedMs = modulo(now - from, DAY_MS);
  return elapsedMs < lengthMs ? lengthMs - elapsedMs : 0;
}

function timeOfDayMs(text: string): number {
  const [hours = 0, minutes = 0] = text.split(":").map(Number);
  return (hours * 60 + minutes) * MINUTE_MS;
}

function modulo(value: number, divisor: number): number {
  return ((value % divisor) + divisor) % divisor;
}

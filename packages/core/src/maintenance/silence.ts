/**
 * Silence of VMs, and when it counts as a failure.
 *
 * @module
 */
import type { VmRecord } from "../fleet.ts";
import type { VmCondition } from "./observation.ts";

/** A VM that has not answered for this long counts as failed. */
export const FAILURE_TIMEOUT_MS = 10_000;

/**
 * Whether a serving VM may answer although this leader has not heard from it. After an election entries report their
 * demand before the targets report their slots, so that missing slots are no sign of a loss yet.
 */
export function isUnobserved(
  record: VmRecord,
  condition: VmCondition | undefined,
  now: number,
): boolean {
  return record.phase === "serving" && condition?.observed === false &&
    now - condition.since < FAILURE_TIMEOUT_MS;
}

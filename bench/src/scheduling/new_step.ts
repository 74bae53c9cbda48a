/**
 * Steps of simulated jobs.
 *
 * @module
 */
import type { StepSpec } from "@quetzalcove/core/scheduling";

/** A step with defaults for what a load does not set. */
export function newStep(
  changes: Partial<StepSpec> & Pick<StepSpec, "demand" | "estimatedMs">,
): StepSpec {
  return {
    taskCount: 1,
    dependsOn: [],
    checkpoints: false,
    gang: false,
    sameRack: false,
    requiredLabel: "",
    dataRack: "",
    maxPerWorker: 0,
    allowsCopies: false,
    lasting: false,
    image: "",
    targetLatencyMs: 0,
    fills: false,
    maxUnavailable: undefined,
    ...changes,
  };
}

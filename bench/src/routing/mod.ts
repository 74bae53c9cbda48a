/**
 * Routing under load and faults: slot sharing, admission and ejection against baselines on the same seeds.
 *
 * @module
 */
import type { Outcome, Run, Scenario } from "../scenario.ts";
import { benchFaults } from "./faults.ts";
import { benchLoads } from "./loads.ts";

/** Runs the routing measurements. */
export function benchRouting(run: Run): Outcome {
  const parts = [benchLoads(run), benchFaults(run)];
  return {
    tables: parts.flatMap((part) => part.tables),
    checks: parts.flatMap((part) => part.checks),
    plots: parts.flatMap((part) => part.plots ?? []),
  };
}

/** The registered scenario. */
export const scenario: Scenario = {
  name: "routing",
  description:
    "Slot sharing, admission, retries and ejection at 0.5 to 3 times capacity, with faults",
  run: benchRouting,
};

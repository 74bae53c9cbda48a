/**
 * Routing under load and faults: slot sharing, admission and ejection against baselines on the same seeds.
 *
 * @module
 */
import type { Outcome, Run, Scenario } from "../scenario.ts";
import { benchCapacityChange } from "./capacity_change.ts";
import { benchCost } from "./cost.ts";
import { benchFaults } from "./faults.ts";
import { benchLoads } from "./loads.ts";
import { benchOvernight } from "./overnight.ts";
import { benchRegrant } from "./regrant.ts";

/** Runs the routing measurements. */
export function benchRouting(run: Run): Outcome {
  const parts = [
    benchCost(run),
    benchLoads(run),
    benchFaults(run),
    benchRegrant(run),
    benchCapacityChange(run),
    benchOvernight(run),
  ];
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

/**
 * Routing under load and faults: slot sharing, admission and ejection against baselines on the same seeds.
 *
 * @module
 */
import type { Outcome, RunOptions, Scenario } from "../scenario.ts";
import { benchCapacityChange } from "./capacity_change.ts";
import { benchCost } from "./cost.ts";
import { benchFaults } from "./faults.ts";
import { benchLoads } from "./loads.ts";
import { benchOvernight } from "./overnight.ts";
import { benchRegrant } from "./regrant.ts";

/** Compares the sharing strategies under load and faults. */
export function benchRouting(run: RunOptions): Outcome {
  return merge([benchCost(run), benchLoads(run), benchFaults(run)]);
}

/** Measures admission when capacity changes, overnight work, and re-granting the slots of lost entries. */
export function benchAdmission(run: RunOptions): Outcome {
  return merge([
    benchRegrant(run),
    benchCapacityChange(run),
    benchOvernight(run),
  ]);
}

function merge(parts: readonly Outcome[]): Outcome {
  return {
    tables: parts.flatMap((part) => part.tables),
    checks: parts.flatMap((part) => part.checks),
    plots: parts.flatMap((part) => part.plots ?? []),
  };
}

/** Scenarios of this module. */
export const ROUTING: readonly Scenario[] = [
  {
    name: "routing",
    description:
      "Slot-sharing strategies at 0.5 to 3 times capacity, and the cost of faults",
    run: benchRouting,
  },
  {
    name: "admission",
    description:
      "Admission when capacity changes, overnight work, slots of lost entries",
    run: benchAdmission,
  },
];

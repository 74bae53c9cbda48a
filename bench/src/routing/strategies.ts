/**
 * The slot-sharing strategies that are compared.
 *
 * @module
 */
import { BASELINES } from "./baselines.ts";
import { leased, type LeasedSetup } from "./leased_sharing.ts";
import { lending } from "./lending_sharing.ts";
import { overcommitted } from "./overcommitted_sharing.ts";
import { owned } from "./owner_sharing.ts";
import type { Strategy } from "./strategy.ts";
import { MEAN_RUN_MS } from "./simulation.ts";

const DECLARED = { declaredRunMs: MEAN_RUN_MS };

/** A variant of the leased strategy. */
export function leasedStrategy(
  name: string,
  setup: Partial<LeasedSetup> = {},
): Strategy {
  return {
    name,
    overflow: "run",
    start: (simulation) => leased(simulation, { ...DECLARED, ...setup }),
  };
}

/** The strategy that the product uses. */
export const LEASED: Strategy = leasedStrategy("leased");

/** A single entry that holds every slot: the upper bound for any sharing strategy. */
export const POOLED: Strategy = { ...leasedStrategy("one entry"), entries: 1 };

/** All strategies: the product's first, the baselines last. */
export const STRATEGIES: readonly Strategy[] = [
  LEASED,
  {
    name: "lending",
    overflow: "run",
    start: (simulation) => lending(simulation, DECLARED),
  },
  {
    name: "owner",
    overflow: "run",
    start: (simulation) => owned(simulation, DECLARED),
  },
  {
    name: "over-committed",
    overflow: "refuse",
    start: (simulation) => overcommitted(simulation, DECLARED),
  },
  POOLED,
  ...BASELINES,
];

/**
 * The ways of sharing slots that are compared.
 *
 * @module
 */
import { BASELINES } from "./baselines.ts";
import { leased, type LeasedSetup } from "./leased_sharing.ts";
import { lending } from "./lending_sharing.ts";
import { overcommitted } from "./overcommitted_sharing.ts";
import { owned } from "./owner_sharing.ts";
import type { Strategy } from "./strategy.ts";
import { MEAN_RUN_MS } from "./world.ts";

const DECLARED = { declaredRunMs: MEAN_RUN_MS };

/** Slots leased by the leader, with what may vary. */
export function leasedStrategy(
  name: string,
  setup: Partial<LeasedSetup> = {},
): Strategy {
  return {
    name,
    excess: "run",
    start: (world) => leased(world, { ...DECLARED, ...setup }),
  };
}

/** The way that is used. */
export const LEASED: Strategy = leasedStrategy("leased");

/** One entry that holds every slot: what sharing cannot surpass. */
export const POOLED: Strategy = { ...leasedStrategy("one entry"), entries: 1 };

/** Every way, the used one first and the baselines last. */
export const STRATEGIES: readonly Strategy[] = [
  LEASED,
  {
    name: "lending",
    excess: "run",
    start: (world) => lending(world, DECLARED),
  },
  { name: "owner", excess: "run", start: (world) => owned(world, DECLARED) },
  {
    name: "over-committed",
    excess: "refuse",
    start: (world) => overcommitted(world, DECLARED),
  },
  POOLED,
  ...BASELINES,
];

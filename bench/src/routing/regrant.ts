/**
 * When the slots of a lost entry may be granted again: requests in progress beyond a target's slots, against the
 * goodput lost by waiting.
 *
 * @module
 */
import { atMost, type Outcome, type RunOptions } from "../scenario.ts";
import { mean } from "./loads.ts";
import { LEASE_MS } from "./leased_sharing.ts";
import { LEASED, leasedStrategy } from "./strategies.ts";
import type { SlotSharing, Strategy } from "./strategy.ts";
import {
  FAULTY_ENTRY,
  loseEntry,
  removeFromBalancer,
  runTrial,
  type Trial,
} from "./trial.ts";
import { routes, type Simulation, SLOTS } from "./simulation.ts";

const FAULT_AT_MS = 10_000;
const DURATION_MS = 15_000;
const LOAD = 1;
const SEEDS = 2;

/** Time after the last renewal at which a leader that does not wait for the lease to end considers an entry lost. */
const EARLY_REGRANT_MS = 1_200;

/** Index in the route table of the target that is slow in the cases with a slow target. */
const SLOW_TARGET = 20;

/** Fault of the entry, and whether a target is slow as well. */
const FAULT_CASES = [
  { fault: "lost", slow: false },
  { fault: "lost", slow: true },
  { fault: "cut off", slow: false },
  { fault: "cut off", slow: true },
] as const;

type FaultCase = (typeof FAULT_CASES)[number];

/** Loses an entry, or cuts it off from the leader, under each re-grant rule, with and without a slow target. */
export function benchRegrant(run: RunOptions): Outcome {
  const seeds = run.quick ? 1 : SEEDS;
  const results = FAULT_CASES.flatMap((faultCase) =>
    regrantRules().map((strategy) => ({
      ...faultCase,
      strategy: strategy.name,
      trials: Array.from({ length: seeds }, (_, index) =>
        runTrial(strategy, {
          seed: run.seed + index,
          load: LOAD,
          warmUpMs: FAULT_AT_MS,
          durationMs: DURATION_MS,
          script: (simulation, sharing) =>
            injectFault(faultCase, simulation, sharing),
        })),
    }))
  );
  return {
    tables: [{
      name:
        "an entry lost or cut off at load 1.0: when its slots are granted again",
      columns: [
        "entry",
        "slow target",
        "granted again",
        "goodput",
        "sent beyond the slots",
        "most on a target",
      ],
      rows: results.map(({ fault, slow, strategy, trials }) => [
        fault,
        slow ? "yes" : "no",
        strategy,
        mean(trials, ({ measures }) => measures.goodput),
        mean(trials, ({ beyondSlots }) => beyondSlots),
        maxInProgress(trials),
      ]),
    }],
    checks: results.filter(({ strategy }) => strategy === LEASED.name).map(
      ({ fault, slow, trials }) =>
        atMost(
          `leased, entry ${fault}${
            slow ? " beside a slow target" : ""
          }: most at work on a target`,
          maxInProgress(trials),
          SLOTS,
        ),
    ),
  };
}

function injectFault(
  { fault, slow }: FaultCase,
  simulation: Simulation,
  sharing: SlotSharing,
): void {
  const target = simulation.targets.get(routes()[SLOW_TARGET]?.target ?? "");
  if (slow && target !== undefined) {
    target.condition = "slow";
  }
  simulation.events.at(FAULT_AT_MS, () => {
    if (fault === "lost") {
      loseEntry(simulation, sharing);
      return;
    }
    sharing.cutOff?.(FAULTY_ENTRY);
    simulation.events.after(LEASE_MS, () => removeFromBalancer(simulation));
  });
}

function regrantRules(): Strategy[] {
  return [
    LEASED,
    leasedStrategy("after the lease", { drainRuns: 0 }),
    leasedStrategy("after a missed renewal", {
      drainRuns: 0,
      regrantMs: EARLY_REGRANT_MS,
    }),
  ];
}

function maxInProgress(trials: readonly Trial[]): number {
  return Math.max(...trials.map((trial) => trial.maxInProgress));
}

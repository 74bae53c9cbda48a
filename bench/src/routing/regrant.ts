/**
 * When the slots of a lost entry may be granted again: what is at work beyond the slots of a target, and what the wait
 * costs.
 *
 * @module
 */
import { atMost, type Outcome, type Run } from "../scenario.ts";
import { mean } from "./loads.ts";
import { LEASE_MS } from "./leased_sharing.ts";
import { LEASED, leasedStrategy } from "./strategies.ts";
import type { Sharing, Strategy } from "./strategy.ts";
import {
  dropFromBalancer,
  FAULTY_ENTRY,
  loseEntry,
  runTrial,
  type Trial,
} from "./trial.ts";
import { routes, SLOTS, type World } from "./world.ts";

const FAULT_AT_MS = 10_000;
const DURATION_MS = 15_000;
const LOAD = 1;
const SEEDS = 2;

/** Time after the last renewal at which a hasty leader takes an entry for lost. */
const HASTY_MS = 1_200;

/** Position of the target that is slow when the entry is lost. */
const SLOW_TARGET = 20;

/** What befalls the entry, and whether a target is slow as well. */
const CASES = [
  { befalls: "lost", slow: false },
  { befalls: "lost", slow: true },
  { befalls: "cut off", slow: false },
  { befalls: "cut off", slow: true },
] as const;

type Case = (typeof CASES)[number];

/** Loses an entry, or cuts it off from the leader, under each rule, with and without a slow target. */
export function benchRegrant(run: Run): Outcome {
  const seeds = run.quick ? 1 : SEEDS;
  const results = CASES.flatMap((situation) =>
    rules().map((strategy) => ({
      ...situation,
      strategy: strategy.name,
      trials: Array.from({ length: seeds }, (_, index) =>
        runTrial(strategy, {
          seed: run.seed + index,
          load: LOAD,
          warmUpMs: FAULT_AT_MS,
          durationMs: DURATION_MS,
          script: (world, sharing) => bringAbout(situation, world, sharing),
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
      rows: results.map(({ befalls, slow, strategy, trials }) => [
        befalls,
        slow ? "yes" : "no",
        strategy,
        mean(trials, ({ measures }) => measures.goodput),
        mean(trials, ({ beyondSlots }) => beyondSlots),
        mostOf(trials),
      ]),
    }],
    checks: results.filter(({ strategy }) => strategy === LEASED.name).map(
      ({ befalls, slow, trials }) =>
        atMost(
          `leased, entry ${befalls}${
            slow ? " beside a slow target" : ""
          }: most at work on a target`,
          mostOf(trials),
          SLOTS,
        ),
    ),
  };
}

function bringAbout(
  { befalls, slow }: Case,
  world: World,
  sharing: Sharing,
): void {
  const target = world.targets.get(routes()[SLOW_TARGET]?.target ?? "");
  if (slow && target !== undefined) {
    target.condition = "slow";
  }
  world.events.at(FAULT_AT_MS, () => {
    if (befalls === "lost") {
      loseEntry(world, sharing);
      return;
    }
    sharing.cutOff?.(FAULTY_ENTRY);
    world.events.after(LEASE_MS, () => dropFromBalancer(world));
  });
}

function rules(): Strategy[] {
  return [
    LEASED,
    leasedStrategy("after the lease", { drainRuns: 0 }),
    leasedStrategy("after a missed renewal", {
      drainRuns: 0,
      regrantMs: HASTY_MS,
    }),
  ];
}

function mostOf(trials: readonly Trial[]): number {
  return Math.max(...trials.map((trial) => trial.mostPresent));
}

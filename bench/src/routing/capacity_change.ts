/**
 * Admission while targets leave a pool and return: a limit derived from the slots held, against a limit by queueing
 * delay with and without the proportional increase and the floor.
 *
 * @module
 */
import { atLeast, type Outcome, type RunOptions } from "../scenario.ts";
import type { SlotSharing, Strategy } from "./strategy.ts";
import { mean } from "./loads.ts";
import { queueingAdmission } from "./queueing_admission.ts";
import { leasedStrategy } from "./strategies.ts";
import { runTrial, type Trial } from "./trial.ts";
import { routes, type Simulation } from "./simulation.ts";

const LEAVE_AT_MS = 6_000;
const RETURN_AT_MS = 11_000;
const END_MS = 17_000;
const LOADS = [0.7, 1, 1.5] as const;
const SEEDS = 3;
const CHANGED_SERVICE = "service-3";
const LEAVING_TARGETS = 5;

/** Runs each admission through a loss and a recovery of capacity. */
export function benchCapacityChange(run: RunOptions): Outcome {
  const seeds = run.quick ? 1 : SEEDS;
  const results = LOADS.flatMap((load) =>
    admissions().map((strategy) => ({
      load,
      name: strategy.name,
      trials: Array.from({ length: seeds }, (_, index) =>
        runTrial(strategy, {
          seed: run.seed + index,
          load,
          warmUpMs: RETURN_AT_MS,
          durationMs: END_MS - RETURN_AT_MS,
          script: scheduleCapacityChange,
        })),
    }))
  );
  return {
    tables: [{
      name:
        "admission after 5 of 7 targets of one service return, over the 6 s that follow",
      columns: [
        "load",
        "limit",
        "goodput of the service",
        "goodput",
        "live p50 ms",
        "live p99 ms",
        "refused %",
        "ok in each second",
      ],
      rows: results.map(({ load, name, trials }) => [
        load,
        name,
        mean(trials, serviceGoodput),
        mean(trials, ({ measures }) => measures.goodput),
        mean(trials, ({ measures }) => measures.liveMs(50)),
        mean(trials, ({ measures }) => measures.liveMs(99)),
        mean(
          trials,
          ({ measures: m }) => 100 * m.outcomes.refused / m.offered,
        ),
        bySecond(trials),
      ]),
    }],
    checks: LOADS.map((load) => {
      const loadResults = results.filter((result) => result.load === load);
      const goodputs = loadResults.map(({ trials }) =>
        mean(trials, serviceGoodput)
      );
      const [slotBased = 0, ...others] = goodputs;
      return atLeast(
        `returning capacity at ${load}: goodput over the best other limit`,
        slotBased / Math.max(...others),
        1,
      );
    }),
  };
}

function admissions(): Strategy[] {
  return [
    leasedStrategy("from slots held"),
    leasedStrategy("by delay", { admission: () => queueingAdmission(false) }),
    leasedStrategy("by delay, proportional raise and floor", {
      admission: () => queueingAdmission(true),
    }),
  ];
}

function scheduleCapacityChange(
  simulation: Simulation,
  sharing: SlotSharing,
): void {
  let remaining = LEAVING_TARGETS;
  const table = routes().map((route) => {
    const leaves = route.service === CHANGED_SERVICE && remaining > 0;
    remaining -= leaves ? 1 : 0;
    return leaves ? { ...route, state: "leaving" as const } : route;
  });
  simulation.events.at(LEAVE_AT_MS, () => sharing.setTargets(table));
  simulation.events.at(RETURN_AT_MS, () => sharing.setTargets(routes()));
}

function serviceGoodput({ measures }: Trial): number {
  const answered = measures.okByService.get(CHANGED_SERVICE) ?? 0;
  return answered * 1_000 / (measures.until - measures.from);
}

function bySecond(trials: readonly Trial[]): string {
  const seconds: number[] = [];
  for (let at = RETURN_AT_MS; at < END_MS; at += 1_000) {
    const second = at / 1_000;
    seconds.push(
      Math.round(mean(trials, (t) => t.measures.okBySecond[second] ?? 0)),
    );
  }
  return seconds.join(" ");
}

/**
 * Scenarios of look-ahead placement: waits of large and small steps, waits for a rack, and scores of free resources.
 *
 * @module
 */
import { RESERVATION_LIMITS } from "@quetzalcove/core/scheduling";
import type { Cell, Outcome, RunOptions, Scenario } from "../scenario.ts";
import { atLeast, atMost } from "../scenario.ts";
import { FIT_SCORES } from "./fit_scores.ts";
import { FIT_LOADS, LARGE_STEP_LOADS, RACK_LOADS } from "./loads.ts";
import {
  type JobResult,
  type PoolLoad,
  type PoolPolicy,
  type PoolResult,
  simulatePool,
} from "./pool_simulation.ts";

/** Runs with successive seeds that are taken together. */
const SEEDS = 3;

const OFF: PoolPolicy = { lookAhead: false };
const ON: PoolPolicy = { lookAhead: true };

/** Waits for racks without reservations. */
const RACK_ONLY: PoolPolicy = {
  lookAhead: true,
  limits: { ...RESERVATION_LIMITS, maxSteps: 0, maxHeldSteps: 0 },
};

/** Share of the work on time that a pool may lose so that no large step starves. */
const MAX_LOSS = 0.01;

/** Largest ratio of the p99 wait of large steps with look-ahead to that without, where they wait longest. */
const MAX_WAIT_RATIO = 0.5;

export const LOOK_AHEAD: readonly Scenario[] = [
  {
    name: "large-steps",
    description:
      "Waits of large and small steps, with and without reservations",
    run: benchLargeSteps,
  },
  {
    name: "rack-waits",
    description: "Many jobs that want the same rack, with and without a wait",
    run: benchRackWaits,
  },
  {
    name: "fit-scores",
    description: "Scores of CPU and memory apart against best fit by CPU",
    run: benchFitScores,
  },
];

function benchLargeSteps(options: RunOptions): Outcome {
  const rows: Cell[][] = [];
  const inTime = new Map<string, number>();
  const largeWaits = new Map<string, number>();
  for (const [name, load] of Object.entries(LARGE_STEP_LOADS)) {
    for (const [look, policy] of [["off", OFF], ["on", ON]] as const) {
      const { jobs, longestHoldMs } = play(load, policy, options);
      inTime.set(`${name} ${look}`, shareInTime(jobs));
      for (const kind of load.kinds) {
        const own = jobs.filter((job) => job.kind === kind.name);
        largeWaits.set(`${name} ${look} ${kind.name}`, waitP99(own));
        rows.push([name, look, kind.name, ...summary(own), longestHoldMs]);
      }
      rows.push([name, look, "all", ...summary(jobs), longestHoldMs]);
    }
  }
  const gain = (name: string): number =>
    (inTime.get(`${name} on`) ?? 0) - (inTime.get(`${name} off`) ?? 0);
  return {
    tables: [{
      name: "jobs by kind",
      columns: ["load", "look-ahead", ...SUMMARY_COLUMNS, "longest hold ms"],
      rows,
    }],
    checks: [
      atMost(
        "p99 wait of large steps at 95 %, with look-ahead over without",
        (largeWaits.get("steady 95 % on large") ?? 0) /
          (largeWaits.get("steady 95 % off large") ?? 1),
        MAX_WAIT_RATIO,
      ),
      ...["steady 95 %", "rises to 150 %", "rises to 200 %"].map((name) =>
        atMost(`loss of work on time, ${name}`, -gain(name), MAX_LOSS)
      ),
    ],
  };
}

function benchRackWaits(options: RunOptions): Outcome {
  const rows: Cell[][] = [];
  const checks = [];
  for (const [name, load] of Object.entries(RACK_LOADS)) {
    const shares: number[] = [];
    for (const [look, policy] of [["off", OFF], ["on", RACK_ONLY]] as const) {
      const { jobs } = play(load, policy, options);
      const own = jobs.filter(({ dataRack }) => dataRack !== "");
      const far = own.filter(({ isFar }) => isFar).length / own.length;
      shares.push(shareInTime(jobs));
      rows.push([name, look, "with a rack", ...summary(own), far]);
      rows.push([name, look, "all", ...summary(jobs), ""]);
    }
    const [off = 0, on = 0] = shares;
    checks.push(atLeast(`gain of work on time, ${name}`, on - off, 0));
  }
  return {
    tables: [{
      name: "jobs that want one rack of five",
      columns: ["load", "wait", ...SUMMARY_COLUMNS, "share far"],
      rows,
    }],
    checks,
  };
}

function benchFitScores(options: RunOptions): Outcome {
  const rows: Cell[][] = [];
  for (const [name, load] of Object.entries(FIT_LOADS)) {
    for (const [score, fitScore] of Object.entries(FIT_SCORES)) {
      const { jobs } = play(load, { lookAhead: false, fitScore }, options);
      const large = jobs.filter(({ kind }) => kind === "large");
      rows.push([name, score, "large", ...summary(large)]);
      rows.push([name, score, "all", ...summary(jobs)]);
    }
  }
  return {
    tables: [{
      name: "jobs by score",
      columns: ["load", "score", ...SUMMARY_COLUMNS],
      rows,
    }],
    checks: [],
  };
}

/** Plays a load with several seeds. */
function play(
  load: PoolLoad,
  policy: PoolPolicy,
  { seed, quick }: RunOptions,
): PoolResult {
  const length = quick ? { lengthMs: load.lengthMs / 4 } : {};
  const results = Array.from(
    { length: quick ? 1 : SEEDS },
    (_, index) => simulatePool({ ...load, ...length }, policy, seed + index),
  );
  return {
    jobs: results.flatMap(({ jobs }) => jobs),
    longestHoldMs: Math.max(
      ...results.map(({ longestHoldMs }) => longestHoldMs),
    ),
    mostReserved: Math.max(...results.map(({ mostReserved }) => mostReserved)),
  };
}

const SUMMARY_COLUMNS = [
  "jobs",
  "wait p50 ms",
  "wait p99 ms",
  "took p50 ms",
  "took p99 ms",
  "share of work on time",
];

function summary(jobs: readonly JobResult[]): Cell[] {
  const waits = jobs.map(({ waitMs }) => waitMs ?? Infinity);
  const times = jobs.map(({ tookMs }) => tookMs ?? Infinity);
  return [
    quantile(waits, 0.5),
    quantile(waits, 0.99),
    quantile(times, 0.5),
    quantile(times, 0.99),
    shareInTime(jobs),
  ];
}

function waitP99(jobs: readonly JobResult[]): number {
  return quantile(jobs.map(({ waitMs }) => waitMs ?? Infinity), 0.99);
}

function shareInTime(jobs: readonly JobResult[]): number {
  let total = 0;
  let inTime = 0;
  for (const { coreMs, isInTime } of jobs) {
    total += coreMs;
    inTime += isInTime ? coreMs : 0;
  }
  return total === 0 ? 1 : inTime / total;
}

function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.min(sorted.length - 1, Math.floor(share * sorted.length));
  return sorted[index] ?? 0;
}

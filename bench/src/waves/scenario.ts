/**
 * Maintenance waves against three baselines on the same seeds: spare capacity, roll-out time, moves and budgets.
 *
 * @module
 */
import {
  atLeast,
  atMost,
  type Cell,
  type Check,
  type Outcome,
  type Plot,
  type RunOptions,
  type Scenario,
  type Table,
} from "../scenario.ts";
import { measureRound, type RoundMetrics } from "./measure.ts";
import {
  allAtOnce,
  oneAtATime,
  type Policy,
  productPolicy,
  thirdByZone,
} from "./policy.ts";
import { accra, bern, type FleetProfile, twoYears } from "./fleet_profile.ts";

/** A policy, and the share of the budget that its rules allow a further loss to use. */
interface PolicyVariant {
  policy: Policy;
  riskShare: number;
}

const RISK_SHARE = 0.1;

const POLICIES: Record<string, PolicyVariant> = {
  waves: { policy: productPolicy, riskShare: 0 },
  "waves, risk 0.1": { policy: productPolicy, riskShare: RISK_SHARE },
  "one at a time": { policy: oneAtATime, riskShare: 0 },
  "third by zone": { policy: thirdByZone, riskShare: 0 },
  "no rule": { policy: allAtOnce, riskShare: 0 },
};

const SEEDS = 24;
const QUICK_SEEDS = 4;
const TWO_YEAR_SEEDS = 8;
const QUICK_TWO_YEAR_SEEDS = 1;
const LOAD = 0.38;
const SWEEP_LOADS = [0.34, 0.38, 0.42, 0.46, 0.5];
const TWO_YEAR_LOAD = 0.7;
/** Runs that take longer count as incomplete. */
const LIMIT_MS = 86_400_000;
const TWO_YEAR_LIMIT_MS = 43_200_000;
const SWEEP_SEEDS = 8;
const SWEEP_LIMIT_MS = 43_200_000;
const SWEEP_TICK_MS = 5_000;

/** Seeds start at the bench seed times this step, so that different bench seeds share none. */
const SEED_STEP = 1_000;

type Results = Record<string, RoundMetrics[]>;

/** The maintenance wave scenario. */
export const WAVES: Scenario = {
  name: "waves",
  description:
    "Maintenance waves, budgets and planned stops against three baselines",
  run,
};

function run(options: RunOptions): Outcome {
  const smallFleetSeeds = options.quick ? QUICK_SEEDS : SEEDS;
  const twoYearSeeds = options.quick ? QUICK_TWO_YEAR_SEEDS : TWO_YEAR_SEEDS;
  const results = {
    accra: runAll(accra(LOAD), {
      options,
      seeds: smallFleetSeeds,
      limitMs: LIMIT_MS,
      withRisk: true,
    }),
    bern: runAll(bern(LOAD), {
      options,
      seeds: smallFleetSeeds,
      limitMs: LIMIT_MS,
      withRisk: true,
    }),
    "two-year": runAll(twoYears(TWO_YEAR_LOAD), {
      options,
      seeds: twoYearSeeds,
      limitMs: TWO_YEAR_LIMIT_MS,
      withRisk: false,
    }),
  };
  const tables = Object.entries(results).map(([name, result]) =>
    tableOf(
      `${name}, load ${name === "two-year" ? TWO_YEAR_LOAD : LOAD}`,
      result,
    )
  );
  return {
    tables: [...tables, sweep(options)],
    checks: checksOf(results),
    plots: [plotOf(results)],
  };
}

interface SeedSeries {
  options: RunOptions;
  seeds: number;
  limitMs: number;
  /** Whether the variant with a risk share is run as well. */
  withRisk: boolean;
}

function runAll(profile: FleetProfile, series: SeedSeries): Results {
  return Object.fromEntries(
    Object.entries(POLICIES)
      .filter(([, { riskShare }]) => riskShare === 0 || series.withRisk)
      .map(([name, policy]) => [name, runSeeds(profile, policy, series)]),
  );
}

function withRiskShare(profile: FleetProfile, riskShare: number): FleetProfile {
  const maintenance = { ...profile.rules.maintenance, riskShare };
  return { ...profile, rules: { ...profile.rules, maintenance } };
}

function runSeeds(
  profile: FleetProfile,
  { policy, riskShare }: PolicyVariant,
  series: SeedSeries,
): RoundMetrics[] {
  const { options, seeds, limitMs } = series;
  return Array.from(
    { length: seeds },
    (_, i) =>
      measureRound(withRiskShare(profile, riskShare), policy, {
        seed: options.seed * SEED_STEP + i,
        limitMs,
        clock: options.clock,
      }),
  );
}

const COLUMNS = [
  "policy",
  "complete",
  "buffer",
  "roll-out min p50, no incident",
  "roll-out min p50, incident",
  "roll-out min max",
  "moves",
  "runs in breach",
  "worst spent",
  "outside window min",
  "rebooted twice",
  "pass ms p99.9",
];

function tableOf(name: string, results: Results): Table {
  return {
    name,
    columns: COLUMNS,
    rows: Object.entries(results).map(([policy, runs]) => rowOf(policy, runs)),
  };
}

function rowOf(policy: string, runs: RoundMetrics[]): Cell[] {
  const complete = runs.filter((metrics) => metrics.complete).length;
  return [
    policy,
    `${complete}/${runs.length}`,
    highest(runs, "buffer"),
    median(rolloutMinutes(runs, false)),
    median(rolloutMinutes(runs, true)),
    highest(runs, "rolloutMinutes"),
    highest(runs, "moves"),
    countRunsInBreach(runs),
    highest(runs, "spent"),
    highest(runs, "outsideMinutes"),
    highest(runs, "repeated"),
    highest(runs, "passMs"),
  ];
}

function sweep(options: RunOptions): Table {
  const series = {
    options,
    seeds: options.quick ? QUICK_TWO_YEAR_SEEDS : SWEEP_SEEDS,
    limitMs: SWEEP_LIMIT_MS,
    withRisk: true,
  };
  const rows = SWEEP_LOADS.map((load): Cell[] => [
    load,
    ...Object.values(POLICIES).flatMap((policy): Cell[] => {
      const runs = runSeeds(
        { ...accra(load), tickMs: SWEEP_TICK_MS },
        policy,
        series,
      );
      const complete = runs.filter((metrics) => metrics.complete).length;
      return [
        `${complete}/${runs.length}`,
        countRunsInBreach(runs),
        highest(runs, "spent"),
      ];
    }),
  ]);
  const columns = Object.keys(POLICIES).flatMap((name) => [
    `${name}: complete`,
    "in breach",
    "worst spent",
  ]);
  return {
    name: "accra, by load at the peak as a share of capacity",
    columns: ["load", ...columns],
    rows,
  };
}

/** Plots spare capacity against roll-out time, one point per fleet and policy. */
function plotOf(results: Record<string, Results>): Plot {
  const values = Object.entries(results).flatMap(([fleet, result]) =>
    Object.entries(result).map(([policy, runs]) => ({
      fleet,
      policy,
      buffer: highest(runs, "buffer"),
      minutes: median(rolloutMinutes(runs, false)),
    }))
  ).filter(({ buffer }) => Number.isFinite(buffer));
  return {
    name: "buffer",
    specification: {
      data: { values },
      mark: { type: "point", filled: true, size: 80 },
      encoding: {
        x: {
          field: "minutes",
          type: "quantitative",
          scale: { type: "log" },
          title: "roll-out, minutes, p50 without an incident",
        },
        y: {
          field: "buffer",
          type: "quantitative",
          title: "spare capacity over need",
        },
        color: { field: "policy", type: "nominal" },
        shape: { field: "fleet", type: "nominal" },
      },
    },
  };
}

function checksOf(results: Record<string, Results>): Check[] {
  const productRuns = Object.values(results).flatMap((result) =>
    result["waves"] ?? []
  );
  const accraProduct = results["accra"]?.["waves"] ?? [];
  const accraThird = results["accra"]?.["third by zone"] ?? [];
  const bernProduct = results["bern"]?.["waves"] ?? [];
  const bernOne = results["bern"]?.["one at a time"] ?? [];
  return [
    atMost("runs with a budget breach", countRunsInBreach(productRuns), 0),
    atLeast(
      "share of runs that maintain every VM",
      productRuns.filter((metrics) => metrics.complete).length /
        productRuns.length,
      1,
    ),
    atMost(
      "accra: buffer over that of a third by zone",
      highest(accraProduct, "buffer") / highest(accraThird, "buffer"),
      0.75,
    ),
    atMost(
      "accra: runs in breach more than a third by zone",
      countRunsInBreach(accraProduct) - countRunsInBreach(accraThird),
      0,
    ),
    atLeast(
      "bern: roll-out speed over one at a time, median, no incident",
      median(speedUps(bernProduct, bernOne, false)),
      3,
    ),
    atLeast(
      "bern: roll-out speed over one at a time, median, incident",
      median(speedUps(bernProduct, bernOne, true)),
      3,
    ),
    atMost(
      "bern: minutes outside the window",
      highest(bernProduct, "outsideMinutes"),
      0,
    ),
    atMost(
      "moves for each VM maintained, worst run",
      highest(productRuns, "moves"),
      1.1,
    ),
    atMost(
      "VMs rebooted twice in a round",
      highest(productRuns, "repeated"),
      0,
    ),
    atMost(
      "decision pass at 1,500 workers, p99.9 ms",
      highest(results["two-year"]?.["waves"] ?? [], "passMs"),
      50,
    ),
  ];
}

function rolloutMinutes(runs: RoundMetrics[], incident: boolean): number[] {
  return runs.filter((metrics) => metrics.incident === incident)
    .map((metrics) => metrics.rolloutMinutes);
}

/** Speed-up of the first runs over the second, seed by seed. */
function speedUps(
  runs: RoundMetrics[],
  others: RoundMetrics[],
  incident: boolean,
): number[] {
  const slow = rolloutMinutes(others, incident);
  return rolloutMinutes(runs, incident).map((fast, i) => (slow[i] ?? 0) / fast);
}

function countRunsInBreach(runs: RoundMetrics[]): number {
  return runs.filter((metrics) => metrics.breaches > 0).length;
}

type NumericMetric = {
  [K in keyof RoundMetrics]: RoundMetrics[K] extends number ? K
    : never;
}[
  keyof RoundMetrics
];

function highest(runs: RoundMetrics[], key: NumericMetric): number {
  return Math.max(...runs.map((metrics) => metrics[key]));
}

function median(values: number[]): number {
  return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}

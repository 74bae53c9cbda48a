/**
 * Sharing strategies under increasing load without faults.
 *
 * @module
 */
import { atLeast, atMost, type Outcome, type RunOptions } from "../scenario.ts";
import { LEASED, leasedStrategy, STRATEGIES } from "./strategies.ts";
import type { Strategy } from "./strategy.ts";
import { runTrial, type Trial } from "./trial.ts";
import { MEAN_RUN_MS, SLOTS } from "./simulation.ts";

const LOADS = [0.5, 0.7, 1, 1.5, 3] as const;
const WARM_UP_MS = 5_000;
const DURATION_MS = 10_000;
const QUICK_DURATION_MS = 3_000;
const SEEDS = 2;

/** Factor by which declared run times are wrong. */
const MISDECLARED_FACTOR = 10;

/** Bounds of the checks. */
const MIN_GOODPUT_RATIO = 0.95;
const MAX_LATENCY_RATIO = 2;
const MAX_RETRY_SHARE = 0.1;
const MAX_REFUSAL_RATIO = 0.1;

/** Trials of one strategy at one load, one per seed. */
export interface LoadResult {
  strategy: string;
  load: number;
  trials: Trial[];
}

/** Runs every strategy at every load. */
export function benchLoads(run: RunOptions): Outcome {
  const misdeclaredStrategies = [
    leasedStrategy("declared 10x too long", {
      declaredRunMs: MEAN_RUN_MS * MISDECLARED_FACTOR,
    }),
    leasedStrategy("declared 10x too short", {
      declaredRunMs: MEAN_RUN_MS / MISDECLARED_FACTOR,
    }),
  ];
  const results = STRATEGIES.flatMap((strategy) => runAtLoads(strategy, run));
  const misdeclaredResults = misdeclaredStrategies.flatMap((strategy) =>
    runAtLoads(strategy, run)
  );
  return {
    tables: [
      table("ways of sharing slots, by load", results),
      table("leased, declared run times wrong by 10x", misdeclaredResults),
    ],
    checks: [LEASED, ...misdeclaredStrategies].flatMap(({ name }) =>
      checksOf(name, [...results, ...misdeclaredResults])
    ),
    plots: [
      plot("goodput", results, "goodput"),
      plot("p99", results, "live p99 ms"),
    ],
  };
}

function runAtLoads(strategy: Strategy, run: RunOptions): LoadResult[] {
  const seeds = run.quick ? 1 : SEEDS;
  const durationMs = run.quick ? QUICK_DURATION_MS : DURATION_MS;
  return LOADS.map((load) => ({
    strategy: strategy.name,
    load,
    trials: Array.from({ length: seeds }, (_, index) =>
      runTrial(strategy, {
        seed: run.seed + index,
        load,
        warmUpMs: WARM_UP_MS,
        durationMs,
      })),
  }));
}

/** Mean of a metric over the trials. */
export function mean(
  trials: readonly Trial[],
  metric: (trial: Trial) => number,
): number {
  return trials.reduce((sum, trial) => sum + metric(trial), 0) /
    trials.length;
}

const METRICS: Record<string, (trial: Trial) => number> = {
  "goodput": ({ measures }) => measures.goodput,
  "live p50 ms": ({ measures }) => measures.liveMs(50),
  "live p99 ms": ({ measures }) => measures.liveMs(99),
  "live p99.9 ms": ({ measures }) => measures.liveMs(99.9),
  "refused %": ({ measures }) =>
    100 * measures.outcomes.refused / measures.offered,
  "refusal p50 ms": ({ measures }) => measures.refusalMs(50),
  "refusal p99 ms": ({ measures }) => measures.refusalMs(99),
  "failed or late": ({ measures }) =>
    measures.outcomes.failed + measures.outcomes.late,
  "beyond slots": ({ beyondSlots }) => beyondSlots,
  "retry share": ({ retryShare }) => retryShare,
  "messages/s": ({ messagesPerSecond }) => messagesPerSecond,
};

function table(name: string, results: readonly LoadResult[]): {
  name: string;
  columns: string[];
  rows: (string | number)[][];
} {
  return {
    name,
    columns: ["load", "way", ...Object.keys(METRICS), "most on a target"],
    rows: LOADS.flatMap((load) =>
      results.filter((result) => result.load === load).map((result) => [
        load,
        result.strategy,
        ...Object.values(METRICS).map((metric) => mean(result.trials, metric)),
        Math.max(...result.trials.map((trial) => trial.maxInProgress)),
      ])
    ),
  };
}

function checksOf(
  strategy: string,
  results: readonly LoadResult[],
): Outcome["checks"] {
  const strategyResults = results.filter((result) =>
    result.strategy === strategy
  );
  const trials = strategyResults.flatMap((result) => result.trials);
  const at = (load: number, metric: (trial: Trial) => number): number =>
    mean(
      strategyResults.find((result) => result.load === load)?.trials ?? [],
      metric,
    );
  const goodput = (t: Trial): number => t.measures.goodput;
  const p99 = (t: Trial): number => t.measures.liveMs(99);
  const refusal = (t: Trial): number => t.measures.refusalMs(99);
  const answer = (t: Trial): number => t.measures.liveMs(50);
  return [
    atLeast(
      `${strategy}: goodput at 3.0 over that at 1.0`,
      at(3, goodput) / at(1, goodput),
      MIN_GOODPUT_RATIO,
    ),
    atMost(
      `${strategy}: live p99 at 3.0 over that at 0.7`,
      at(3, p99) / at(0.7, p99),
      MAX_LATENCY_RATIO,
    ),
    atMost(
      `${strategy}: most at work on a target`,
      Math.max(...trials.map((trial) => trial.maxInProgress)),
      SLOTS,
    ),
    atMost(
      `${strategy}: refusal p99 at 3.0 over answer p50 at 0.7`,
      at(3, refusal) / at(0.7, answer),
      MAX_REFUSAL_RATIO,
    ),
    atMost(
      `${strategy}: most retries as a share of sends`,
      Math.max(...trials.map((trial) => trial.retryShare)),
      MAX_RETRY_SHARE,
    ),
  ];
}

function plot(
  name: string,
  results: readonly LoadResult[],
  metric: string,
): { name: string; specification: Record<string, unknown> } {
  const values = results.map((result) => ({
    way: result.strategy,
    load: result.load,
    value: mean(result.trials, METRICS[metric] as (trial: Trial) => number),
  }));
  return {
    name,
    specification: {
      data: { values },
      mark: { type: "line", point: true },
      encoding: {
        x: { field: "load", type: "quantitative", title: "load / capacity" },
        y: { field: "value", type: "quantitative", title: metric },
        color: { field: "way", type: "nominal" },
      },
    },
  };
}

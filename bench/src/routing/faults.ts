/**
 * Goodput lost to faults (a lost entry or target, a slow target, a target that fails every request), compared with the
 * same seeds without the fault.
 *
 * @module
 */
import {
  atMost,
  type Check,
  type Outcome,
  type RunOptions,
} from "../scenario.ts";
import { mean } from "./loads.ts";
import { LEASED, STRATEGIES } from "./strategies.ts";
import type { Strategy } from "./strategy.ts";
import { type Fault, runTrial, type Trial } from "./trial.ts";
import { ENTRIES, SLOTS, TARGETS_BY_SERVICE } from "./simulation.ts";

const FAULTS: readonly Fault[] = [
  "entry lost",
  "target lost",
  "target slow",
  "target failing",
];
const LOADS = [0.7, 1, 1.5] as const;
const SEEDS = 2;

/** The load at which the other strategies are compared. */
const COMPARED_LOAD = 1;

/** The fault is injected when the measured period begins. */
const FAULT_AT_MS = 6_000;
const DURATION_MS = 12_000;

const TARGETS = TARGETS_BY_SERVICE.reduce<number>((sum, n) => sum + n, 0);

/** Share of the fleet that each fault affects. */
const FAULT_SHARES: Record<Fault, number> = {
  "none": 0,
  "entry lost": 1 / ENTRIES,
  "target lost": 1 / TARGETS,
  "target slow": 1 / TARGETS,
  "target failing": 1 / TARGETS,
};

interface FaultResult {
  strategy: string;
  load: number;
  fault: Fault;
  /** Share of the goodput lost to the fault. */
  goodputLoss: number;
  trials: Trial[];
  faultFree: Trial[];
}

/** Runs every strategy under every fault. */
export function benchFaults(run: RunOptions): Outcome {
  const strategies = run.quick
    ? [LEASED]
    : STRATEGIES.filter((strategy) => strategy.entries !== 1);
  const results = strategies.flatMap((strategy) =>
    loadsOf(strategy).flatMap((load) => runWithFaults(strategy, load, run))
  );
  return {
    tables: [{
      name: "cost of faults, over the 12 s that follow",
      columns: [
        "fault",
        "load",
        "way",
        "cost %",
        "own share %",
        "live p99 ms",
        "p99 without",
        "lost",
        "failed",
        "late",
        "most on a target",
        "retry share",
      ],
      rows: results.map(row),
    }],
    checks: results.filter((r) => r.strategy === LEASED.name).flatMap(checksOf),
  };
}

function loadsOf(strategy: Strategy): readonly number[] {
  return strategy.name === LEASED.name ? LOADS : [COMPARED_LOAD];
}

function runWithFaults(
  strategy: Strategy,
  load: number,
  run: RunOptions,
): FaultResult[] {
  const faultFree = runTrials(strategy, { load, fault: "none", run });
  const goodput = (trial: Trial): number => trial.measures.goodput;
  return FAULTS.map((fault) => {
    const faulty = runTrials(strategy, { load, fault, run });
    const goodputLoss = 1 - mean(faulty, goodput) / mean(faultFree, goodput);
    return {
      strategy: strategy.name,
      load,
      fault,
      goodputLoss,
      trials: faulty,
      faultFree,
    };
  });
}

function runTrials(
  strategy: Strategy,
  { load, fault, run }: { load: number; fault: Fault; run: RunOptions },
): Trial[] {
  const seeds = run.quick ? 1 : SEEDS;
  return Array.from({ length: seeds }, (_, index) =>
    runTrial(strategy, {
      seed: run.seed + index,
      load,
      warmUpMs: FAULT_AT_MS,
      durationMs: DURATION_MS,
      fault,
      faultAtMs: FAULT_AT_MS,
    }));
}

function row(result: FaultResult): (string | number)[] {
  const { trials, faultFree } = result;
  return [
    result.fault,
    result.load,
    result.strategy,
    100 * result.goodputLoss,
    100 * FAULT_SHARES[result.fault],
    mean(trials, ({ measures }) => measures.liveMs(99)),
    mean(faultFree, ({ measures }) => measures.liveMs(99)),
    mean(trials, ({ measures }) => measures.outcomes.lost),
    mean(trials, ({ measures }) => measures.outcomes.failed),
    mean(trials, ({ measures }) => measures.outcomes.late),
    Math.max(...trials.map((trial) => trial.maxInProgress)),
    mean(trials, ({ retryShare }) => retryShare),
  ];
}

function checksOf(result: FaultResult): Check[] {
  const where = `leased, ${result.fault} at ${result.load}`;
  return [
    atMost(`${where}: cost`, result.goodputLoss, FAULT_SHARES[result.fault]),
    atMost(
      `${where}: most at work on a target`,
      Math.max(...result.trials.map((trial) => trial.maxInProgress)),
      SLOTS,
    ),
  ];
}

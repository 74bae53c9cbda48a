/**
 * What the loss of an entry or a target, a slow target and one that fails everything cost, against the same seeds
 * without the fault.
 *
 * @module
 */
import { atMost, type Check, type Outcome, type Run } from "../scenario.ts";
import { mean } from "./loads.ts";
import { LEASED, STRATEGIES } from "./strategies.ts";
import type { Strategy } from "./strategy.ts";
import { type Fault, runTrial, type Trial } from "./trial.ts";
import { ENTRIES, SLOTS, TARGETS_BY_SERVICE } from "./world.ts";

const FAULTS: readonly Fault[] = [
  "entry lost",
  "target lost",
  "target slow",
  "target failing",
];
const LOADS = [0.7, 1, 1.5] as const;
const SEEDS = 2;

/** The load at which the other ways are compared. */
const COMPARED_LOAD = 1;

/** The fault comes when the measured period begins. */
const FAULT_AT_MS = 6_000;
const DURATION_MS = 12_000;

const TARGETS = TARGETS_BY_SERVICE.reduce<number>((sum, n) => sum + n, 0);

/** The share of the fleet that each fault hits. */
const SHARES: Record<Fault, number> = {
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
  /** Share of the goodput that the fault took. */
  cost: number;
  trials: Trial[];
  healthy: Trial[];
}

/** Runs every way under every fault. */
export function benchFaults(run: Run): Outcome {
  const strategies = run.quick
    ? [LEASED]
    : STRATEGIES.filter((strategy) => strategy.entries !== 1);
  const results = strategies.flatMap((strategy) =>
    loadsOf(strategy).flatMap((load) => underFaults(strategy, load, run))
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

function underFaults(
  strategy: Strategy,
  load: number,
  run: Run,
): FaultResult[] {
  const healthy = trials(strategy, { load, fault: "none", run });
  const goodput = (trial: Trial): number => trial.measures.goodput;
  return FAULTS.map((fault) => {
    const faulty = trials(strategy, { load, fault, run });
    const cost = 1 - mean(faulty, goodput) / mean(healthy, goodput);
    return {
      strategy: strategy.name,
      load,
      fault,
      cost,
      trials: faulty,
      healthy,
    };
  });
}

function trials(
  strategy: Strategy,
  { load, fault, run }: { load: number; fault: Fault; run: Run },
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
  const { trials, healthy } = result;
  return [
    result.fault,
    result.load,
    result.strategy,
    100 * result.cost,
    100 * SHARES[result.fault],
    mean(trials, ({ measures }) => measures.liveMs(99)),
    mean(healthy, ({ measures }) => measures.liveMs(99)),
    mean(trials, ({ measures }) => measures.endings.lost),
    mean(trials, ({ measures }) => measures.endings.failed),
    mean(trials, ({ measures }) => measures.endings.late),
    Math.max(...trials.map((trial) => trial.mostPresent)),
    mean(trials, ({ retryShare }) => retryShare),
  ];
}

function checksOf(result: FaultResult): Check[] {
  const where = `leased, ${result.fault} at ${result.load}`;
  return [
    atMost(`${where}: cost`, result.cost, SHARES[result.fault]),
    atMost(
      `${where}: most at work on a target`,
      Math.max(...result.trials.map((trial) => trial.mostPresent)),
      SLOTS,
    ),
  ];
}

/**
 * The `placement` scenario: the product's placement and two baselines on the same fleets and seeds.
 *
 * @module
 */
import {
  atLeast,
  atMost,
  type Cell,
  type Check,
  type Outcome,
  type RunOptions,
  type Scenario,
} from "../scenario.ts";
import { firstFit, randomFit } from "./baselines.ts";
import type { Policy } from "./cluster.ts";
import { type Fleet, fleets } from "./fleet.ts";
import type { Random } from "./random.ts";
import { runTrial, type Trial } from "./trial.ts";

const MAX_URGENT_START_MS = 3_900;
const MAX_PASS_MS = 50;
const MAX_MOVES_PER_DRAIN = 1.1;

interface PolicyVariant {
  name: string;
  policy?: (random: Random) => Policy;
}

const VARIANTS: readonly PolicyVariant[] = [
  { name: "placement" },
  { name: "declared first-fit", policy: firstFit },
  { name: "declared random", policy: randomFit },
];

/** The placement scenario. */
export const placement: Scenario = {
  name: "placement",
  description: "Places jobs under leases on Accra, Bern and the two-year fleet",
  run,
};

function run({ seed, quick, clock }: RunOptions): Outcome {
  const rows: Cell[][] = [];
  const checks: Check[] = [];
  for (const fleet of fleets(quick)) {
    const trials = VARIANTS.map(({ name, policy }) => {
      const trial = runTrial({ fleet, seed, policy, clock });
      rows.push([fleet.name, name, ...cellsOf(trial)]);
      return trial;
    });
    checks.push(...checksOf(fleet, trials));
  }
  const tables = [{ name: "placement of jobs", columns: COLUMNS, rows }];
  return { tables, checks };
}

const COLUMNS = [
  "fleet",
  "policy",
  "done",
  "memory use",
  "urgent p50 s",
  "urgent p99 s",
  "urgent max s",
  "urgent waiting s",
  "OOM kills",
  "lost work min",
  "moves",
  "moves/drain",
  "drained",
  "by deadline",
  "quarantined",
  "doubles",
  "quota breaches",
  "other pool",
  "pass p50 ms",
  "pass p99 ms",
  "pass max ms",
];

function cellsOf(trial: Trial): Cell[] {
  const { counts } = trial;
  const moves = Object.values(trial.moves).reduce((a, b) => a + b, 0);
  return [
    trial.done,
    round(trial.memoryUse, 3),
    round(quantile(counts.urgentMs, 0.5) / 1_000, 2),
    round(quantile(counts.urgentMs, 0.99) / 1_000, 2),
    round(quantile(counts.urgentMs, 1) / 1_000, 2),
    round(trial.waitingUrgentMs / 1_000, 1),
    counts.ends["out of memory"] ?? 0,
    round(counts.lostMs / 60_000, 1),
    moves,
    round(trial.movesPerDrain, 2),
    trial.drained,
    `${trial.deadlinesMet}/${trial.deadlines}`,
    trial.quarantined,
    counts.duplicateRuns,
    counts.quotaBreaches,
    counts.wrongPoolStarts,
    round(quantile(counts.passMs, 0.5), 2),
    round(quantile(counts.passMs, 0.99), 2),
    round(quantile(counts.passMs, 1), 2),
  ];
}

function checksOf(fleet: Fleet, trials: readonly Trial[]): Check[] {
  const [placementTrial, firstFitTrial] = trials;
  if (placementTrial === undefined || firstFitTrial === undefined) {
    return [];
  }
  const { counts } = placementTrial;
  const urgent = Math.max(
    quantile(counts.urgentMs, 1),
    placementTrial.waitingUrgentMs,
  );
  const label = (name: string): string => `${fleet.name}: ${name}`;
  return [
    atMost(label("urgent start max, ms"), urgent, MAX_URGENT_START_MS),
    atMost(label("two runs of one job"), counts.duplicateRuns, 0),
    atMost(label("quota breaches"), counts.quotaBreaches, 0),
    atMost(label("runs in another pool"), counts.wrongPoolStarts, 0),
    atMost(label("pass p99, ms"), quantile(counts.passMs, 0.99), MAX_PASS_MS),
    atMost(
      label("moves per VM drained"),
      placementTrial.movesPerDrain,
      MAX_MOVES_PER_DRAIN,
    ),
    atLeast(
      label("jobs done, ratio to first-fit"),
      placementTrial.done / firstFitTrial.done,
      1,
    ),
  ];
}

function quantile(samples: readonly number[], share: number): number {
  const sorted = samples.toSorted((a, b) => a - b);
  const position = Math.ceil(share * sorted.length) - 1;
  return sorted[Math.max(0, position)] ?? 0;
}

function round(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}

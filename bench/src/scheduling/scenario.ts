/**
 * The `scheduling` scenario: duration of one placement pass, with and without customers in the queue plan.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";
import {
  type JobStore,
  runPlacementPass,
  WorkEstimate,
} from "@quetzalcove/core/scheduling";
import {
  atMost,
  type Outcome,
  type RunOptions,
  type Scenario,
} from "../scenario.ts";
import { candidatesOf, loadedStore, PASS_AT_MS } from "./fleet_load.ts";

const WORKERS = 1_500;
const WAITING_STEPS = 5_000;
const CUSTOMER_COUNTS = [0, 20, 330];
const PASSES = 150;
const QUICK_PASSES = 30;
const WARM_UP_PASSES = 20;
const US_PER_MS = 1_000;

const MAX_PASS_MS = 50;
const MAX_CUSTOMERS_RATIO = 1.1;

export const scheduling: Scenario = {
  name: "scheduling",
  description:
    "Duration of a placement pass with 1,500 workers and 5,000 waiting steps, by number of customers",
  run: benchPasses,
};

interface Variant {
  customers: number;
  store: JobStore;
  durations: Histogram;
  placedTasks: number;
}

/** Runs the scenario. The variants take turns, so that other load on the machine affects all of them alike. */
export function benchPasses({ seed, quick, clock }: RunOptions): Outcome {
  const variants = CUSTOMER_COUNTS.map((customers): Variant => ({
    customers,
    store: loadedStore({
      seed,
      workers: WORKERS,
      waitingSteps: WAITING_STEPS,
      customers,
    }),
    durations: build({ numberOfSignificantValueDigits: 3 }),
    placedTasks: 0,
  }));
  const passes = quick ? QUICK_PASSES : PASSES;
  for (let pass = -WARM_UP_PASSES; pass < passes; pass++) {
    for (const variant of variants) {
      const startedAt = clock();
      variant.placedTasks = runPass(variant.store);
      const tookUs = US_PER_MS * (clock() - startedAt);
      if (pass >= 0) {
        variant.durations.recordValue(Math.round(tookUs));
      }
    }
  }
  return outcomeOf(variants);
}

/** Runs one pass, with the construction of its candidates as in a leadership term; returns the number of tasks. */
function runPass(store: JobStore): number {
  const { placements } = runPlacementPass({
    waiting: store.waiting.values(),
    estimate: new WorkEstimate(),
    candidates: candidatesOf(store),
    isPermitted: () => true,
  }, PASS_AT_MS);
  return placements.reduce((sum, { runs }) => sum + runs.length, 0);
}

function outcomeOf(variants: readonly Variant[]): Outcome {
  const [plain] = variants;
  const ratio = (variant: Variant, percentile: number): number =>
    percentileMs(variant, percentile) /
    (plain === undefined ? NaN : percentileMs(plain, percentile));
  const rows = variants.map((variant) => [
    variant.customers,
    variant.placedTasks,
    percentileMs(variant, 50),
    percentileMs(variant, 99),
    ratio(variant, 50),
    ratio(variant, 99),
  ]);
  return {
    tables: [{
      name: `placement passes, ${WORKERS} workers, ${WAITING_STEPS} steps`,
      columns: [
        "customers",
        "placed tasks",
        "p50 ms",
        "p99 ms",
        "p50 ratio",
        "p99 ratio",
      ],
      rows,
    }],
    checks: variants.flatMap((variant) => [
      atMost(
        `pass p99, ${variant.customers} customers, ms`,
        percentileMs(variant, 99),
        MAX_PASS_MS,
      ),
      ...variant === plain ? [] : [
        atMost(
          `pass p50, ${variant.customers} customers, ratio to none`,
          ratio(variant, 50),
          MAX_CUSTOMERS_RATIO,
        ),
        atMost(
          `pass p99, ${variant.customers} customers, ratio to none`,
          ratio(variant, 99),
          MAX_CUSTOMERS_RATIO,
        ),
      ],
    ]),
  };
}

function percentileMs({ durations }: Variant, percentile: number): number {
  return durations.getValueAtPercentile(percentile) / US_PER_MS;
}

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
  type Check,
  type Outcome,
  type RunOptions,
  type Scenario,
} from "../scenario.ts";
import { candidatesOf, loadedStore, PASS_AT_MS } from "./fleet_load.ts";

const WORKERS = 1_500;
const WAITING_STEPS = 5_000;
const CUSTOMER_COUNTS = [20, 330];

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

/** Passes on one store, with its customers or as if the plan had none. */
interface Variant {
  customers: number;
  countsCustomers: boolean;
  store: JobStore;
  durations: Histogram;
  placedTasks: number;
}

/** Runs the scenario. The variants take turns, so that other load on the machine affects all of them alike. */
export function benchPasses({ seed, quick, clock }: RunOptions): Outcome {
  const variants = CUSTOMER_COUNTS.flatMap((customers) => {
    const store = loadedStore({
      seed,
      workers: WORKERS,
      waitingSteps: WAITING_STEPS,
      customers,
    });
    return [false, true].map((countsCustomers): Variant => ({
      customers,
      countsCustomers,
      store,
      durations: build({ numberOfSignificantValueDigits: 3 }),
      placedTasks: 0,
    }));
  });
  const passes = quick ? QUICK_PASSES : PASSES;
  for (let pass = -WARM_UP_PASSES; pass < passes; pass++) {
    for (const variant of variants) {
      const startedAt = clock();
      variant.placedTasks = runPass(variant);
      const tookUs = US_PER_MS * (clock() - startedAt);
      if (pass >= 0) {
        variant.durations.recordValue(Math.round(tookUs));
      }
    }
  }
  return outcomeOf(variants);
}

/** Runs one pass, with the construction of its candidates as in a leadership term; returns the number of tasks. */
function runPass({ store, countsCustomers }: Variant): number {
  const { placements } = runPlacementPass({
    waiting: store.waiting.values(),
    estimate: new WorkEstimate(),
    candidates: candidatesOf(store),
    isPermitted: () => true,
    customers: {
      planned: countsCustomers ? store.plan.customers : [],
      usage: store.customerUsage,
    },
  }, PASS_AT_MS);
  return placements.reduce((sum, { runs }) => sum + runs.length, 0);
}

function outcomeOf(variants: readonly Variant[]): Outcome {
  const rows = variants.map((variant) => [
    nameOf(variant),
    variant.placedTasks,
    percentileMs(variant, 50),
    percentileMs(variant, 99),
  ]);
  return {
    tables: [{
      name: `placement passes, ${WORKERS} workers, ${WAITING_STEPS} steps`,
      columns: ["customers", "placed tasks", "p50 ms", "p99 ms"],
      rows,
    }],
    checks: variants.flatMap((variant) => [
      atMost(
        `pass p99, ${nameOf(variant)}, ms`,
        percentileMs(variant, 99),
        MAX_PASS_MS,
      ),
      ...variant.countsCustomers
        ? [50, 99].map((percentile) =>
          ratioCheck(variants, variant, percentile)
        )
        : [],
    ]),
  };
}

/** Compares a pass with customers with one on the same store without them. */
function ratioCheck(
  variants: readonly Variant[],
  variant: Variant,
  percentile: number,
): Check {
  const plain = variants.find(({ store, countsCustomers }) =>
    store === variant.store && !countsCustomers
  );
  const ratio = plain === undefined
    ? NaN
    : percentileMs(variant, percentile) / percentileMs(plain, percentile);
  return atMost(
    `pass p${percentile}, ${nameOf(variant)}, ratio to the pass without`,
    ratio,
    MAX_CUSTOMERS_RATIO,
  );
}

function nameOf({ customers, countsCustomers }: Variant): string {
  return countsCustomers
    ? `${customers} customers`
    : `${customers} customers, not counted`;
}

function percentileMs({ durations }: Variant, percentile: number): number {
  return durations.getValueAtPercentile(percentile) / US_PER_MS;
}

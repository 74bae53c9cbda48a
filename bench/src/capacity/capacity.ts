/**
 * Capacity: growth of state, messages, CPU time and memory per VM, extrapolated to the size of the two-year plan.
 *
 * @module
 */
import { spawnSync } from "node:child_process";
import process from "node:process";
import {
  atMost,
  type Check,
  formatNumber,
  type Outcome,
  type RunOptions,
  type Scenario,
} from "../scenario.ts";
import { fitLine } from "./fit.ts";
import { TWO_YEAR_PLAN } from "./fleet_data.ts";
import { measureLive } from "./live.ts";
import { measureInProcess, type Series } from "./in_process.ts";

const IN_PROCESS_SIZES = [100, 250, 500, 1_000, 1_500];
const LIVE_SIZES = [35, 100, 200, 400];
const QUICK_IN_PROCESS_SIZES = [50, 100, 150, 200];
const QUICK_LIVE_SIZES = [10, 20, 30, 40];
const OBSERVATION_MS = 15_000;
const QUICK_OBSERVATION_MS = 2_000;

/** Limits for the control work on one node. */
const CONTROL_LIMITS = {
  processorPercent: 1.9,
  memoryMb: 32,
  kilobytesPerSecond: 3,
} as const;

export const capacity: Scenario = {
  name: "capacity",
  description:
    "Growth of state, messages, CPU time and memory, extrapolated to 1,500 workers",
  run: benchCapacity,
};

/** Runs the scenario. */
export async function benchCapacity(run: RunOptions): Promise<Outcome> {
  const inProcess = measureInProcess(
    run.quick ? QUICK_IN_PROCESS_SIZES : IN_PROCESS_SIZES,
  );
  const live = await measureLive({
    sizes: run.quick ? QUICK_LIVE_SIZES : LIVE_SIZES,
    observationMs: run.quick ? QUICK_OBSERVATION_MS : OBSERVATION_MS,
  });
  const runtimeMb = measureRuntimeMb();
  return {
    tables: [
      table("slopes in one process", inProcess),
      table("slopes of nine daemons", live),
      {
        name: "runtime",
        columns: ["what", "MB"],
        rows: [["bare Node.js, resident", formatNumber(runtimeMb)]],
      },
    ],
    checks: checksOf(live, runtimeMb),
  };
}

function table(
  name: string,
  series: readonly Series[],
): Outcome["tables"][number] {
  const sizes = series[0]?.samples.map((sample) => sample.size) ?? [];
  return {
    name,
    columns: [
      "role",
      "quantity",
      "unit",
      ...sizes.map((size) => `at ${size}`),
      "base",
      "slope",
      "r2",
      "worst share",
      `at ${TWO_YEAR_PLAN.workers}`,
    ],
    rows: series.map(({ role, quantity, unit, samples }) => {
      const line = fitLine(samples);
      return [
        role,
        quantity,
        unit,
        ...samples.map((sample) => formatNumber(sample.value)),
        formatNumber(line.intercept),
        formatNumber(line.slope),
        formatNumber(line.r2),
        formatNumber(line.maxResidualShare),
        formatNumber(line.predict(TWO_YEAR_PLAN.workers)),
      ];
    }),
  };
}

function checksOf(live: readonly Series[], runtimeMb: number): Check[] {
  return live.flatMap(({ role, quantity, unit, samples }) => {
    const value = fitLine(samples).predict(TWO_YEAR_PLAN.workers);
    const name =
      `${role}, ${quantity}, ${unit}, at ${TWO_YEAR_PLAN.workers} workers`;
    switch (quantity) {
      case "processor":
        return [atMost(name, value, CONTROL_LIMITS.processorPercent)];
      case "resident memory":
        return [
          atMost(
            `${name}, above the bare runtime`,
            value - runtimeMb,
            CONTROL_LIMITS.memoryMb,
          ),
        ];
      default:
        return [atMost(name, value, CONTROL_LIMITS.kilobytesPerSecond)];
    }
  });
}

/** Measures the resident memory of an idle Node.js process. */
function measureRuntimeMb(): number {
  const script = "console.log(process.memoryUsage.rss() / 1048576)";
  return Number(
    spawnSync(process.execPath, ["-e", script], { encoding: "utf8" }).stdout,
  );
}

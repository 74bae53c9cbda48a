/**
 * Capacity: slopes of state, messages, processor time and memory by the number of VMs, and what they come to at the
 * size of the two-year plan.
 *
 * @module
 */
import { spawnSync } from "node:child_process";
import process from "node:process";
import {
  atMost,
  type Check,
  decimal,
  type Outcome,
  type Run,
  type Scenario,
} from "../scenario.ts";
import { fit } from "./fit.ts";
import { PLAN } from "./fleet_data.ts";
import { measureLive } from "./live.ts";
import { measurePure, type Series } from "./pure.ts";

const PURE_SIZES = [100, 250, 500, 1_000, 1_500];
const LIVE_SIZES = [35, 100, 200, 400];
const QUICK_PURE_SIZES = [50, 100, 150, 200];
const QUICK_LIVE_SIZES = [10, 20, 30, 40];
const WATCH_MS = 15_000;
const QUICK_WATCH_MS = 2_000;

/** Limits of control on one node. */
const LIMITS = {
  processorPercent: 1.9,
  memoryMb: 32,
  kilobytesPerSecond: 3,
} as const;

export const capacity: Scenario = {
  name: "capacity",
  description:
    "Slopes of state, messages, processor time and memory, taken to 1,500 workers",
  run: benchCapacity,
};

/** Runs the scenario. */
export async function benchCapacity(run: Run): Promise<Outcome> {
  const pure = measurePure(run.quick ? QUICK_PURE_SIZES : PURE_SIZES);
  const live = await measureLive({
    sizes: run.quick ? QUICK_LIVE_SIZES : LIVE_SIZES,
    watchMs: run.quick ? QUICK_WATCH_MS : WATCH_MS,
  });
  const runtimeMb = bareRuntimeMb();
  return {
    tables: [
      table("slopes in one process", pure),
      table("slopes of nine daemons", live),
      {
        name: "runtime",
        columns: ["what", "MB"],
        rows: [["bare Node.js, resident", decimal(runtimeMb)]],
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
      `at ${PLAN.workers}`,
    ],
    rows: series.map(({ role, quantity, unit, samples }) => {
      const line = fit(samples);
      return [
        role,
        quantity,
        unit,
        ...samples.map((sample) => decimal(sample.value)),
        decimal(line.base),
        decimal(line.slope),
        decimal(line.r2),
        decimal(line.worstShare),
        decimal(line.at(PLAN.workers)),
      ];
    }),
  };
}

function checksOf(live: readonly Series[], runtimeMb: number): Check[] {
  return live.flatMap(({ role, quantity, unit, samples }) => {
    const value = fit(samples).at(PLAN.workers);
    const name = `${role}, ${quantity}, ${unit}, at ${PLAN.workers} workers`;
    switch (quantity) {
      case "processor":
        return [atMost(name, value, LIMITS.processorPercent)];
      case "resident memory":
        return [
          atMost(
            `${name}, above the bare runtime`,
            value - runtimeMb,
            LIMITS.memoryMb,
          ),
        ];
      default:
        return [atMost(name, value, LIMITS.kilobytesPerSecond)];
    }
  });
}

/** Resident memory of a Node.js process that does nothing. */
function bareRuntimeMb(): number {
  const script = "console.log(process.memoryUsage.rss() / 1048576)";
  return Number(
    spawnSync(process.execPath, ["-e", script], { encoding: "utf8" }).stdout,
  );
}

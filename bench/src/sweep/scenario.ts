/**
 * Slopes of the sweeps in the journal, extrapolated to the size of the two-year plan, as tables and plots.
 *
 * @module
 */
import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { fitLine } from "../capacity/fit.ts";
import { TWO_YEAR_PLAN } from "../capacity/fleet_data.ts";
import {
  atMost,
  type Check,
  formatNumber,
  type Outcome,
  type Plot,
  type Scenario,
  type Table,
} from "../scenario.ts";
import { latestSweeps, type Sweep } from "./sweep.ts";

const JOURNAL_FOLDER = fileURLToPath(
  new URL("../../../journal", import.meta.url),
);

/** Share of the work served on the smallest day that the largest one must serve, from the target of the users. */
const MIN_SERVED_SHARE = 0.7;

const PLOT_HEIGHT_PX = 120;

export const sweep: Scenario = {
  name: "sweep",
  description: "Slopes of the sweeps in the journal, up to 1,500 workers",
  run: reportSweeps,
};

async function reportSweeps(): Promise<Outcome> {
  const files = (await readdir(JOURNAL_FOLDER)).filter((name) =>
    name.endsWith(".json")
  );
  const texts = await Promise.all(
    files.map((name) => readFile(join(JOURNAL_FOLDER, name), "utf8")),
  );
  const sweeps = latestSweeps(texts);
  return {
    tables: sweeps.map(tableOf),
    checks: sweeps.flatMap(checksOf),
    plots: sweeps.map(plotOf),
  };
}

function tableOf({ id, deployment, days, quantities }: Sweep): Table {
  return {
    name: `${deployment}, sweep ${id}, largest value of a machine`,
    columns: [
      "quantity",
      ...days.map(({ workers }) => `at ${workers}`),
      "base",
      "slope",
      "r2",
      "worst share",
      `at ${TWO_YEAR_PLAN.workers}`,
    ],
    rows: quantities.map(({ name, samples }) => {
      const line = fitLine(samples);
      return [
        name,
        ...samples.map(({ value }) => formatNumber(value)),
        formatNumber(line.intercept),
        formatNumber(line.slope),
        formatNumber(line.r2),
        formatNumber(line.maxResidualShare),
        formatNumber(line.predict(TWO_YEAR_PLAN.workers)),
      ];
    }),
  };
}

function checksOf({ deployment, days }: Sweep): Check[] {
  const broken = days.flatMap(({ brokenRules }) => brokenRules);
  const [smallest] = days;
  const largest = days.at(-1);
  const servedShare = (largest?.served ?? 0) / (smallest?.served ?? 1);
  return [
    atMost(`${deployment}, broken rules`, broken.length, 0),
    {
      name:
        `${deployment}, share served at ${largest?.workers} workers of that at ${smallest?.workers}`,
      target: `at least ${MIN_SERVED_SHARE}`,
      measured: formatNumber(servedShare),
      met: servedShare >= MIN_SERVED_SHARE,
    },
  ];
}

function plotOf({ deployment, quantities }: Sweep): Plot {
  const values = quantities.flatMap(({ name, samples }) => {
    const line = fitLine(samples);
    return samples.map(({ size, value }) => ({
      quantity: name,
      workers: size,
      measured: value,
      line: line.predict(size),
    }));
  });
  const workers = { field: "workers", type: "quantitative" };
  return {
    name: deployment.replace(/\.toml$/, ""),
    specification: {
      data: { values },
      facet: { field: "quantity", type: "nominal", title: null },
      columns: 3,
      resolve: { scale: { y: "independent" } },
      spec: {
        height: PLOT_HEIGHT_PX,
        layer: [
          {
            mark: "point",
            encoding: {
              x: workers,
              y: { field: "measured", type: "quantitative", title: null },
            },
          },
          {
            mark: "line",
            encoding: {
              x: workers,
              y: { field: "line", type: "quantitative" },
            },
          },
        ],
      },
    },
  };
}

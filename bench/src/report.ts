/**
 * Reports of a scenario: text for the terminal, JSON and SVG files as stored results.
 *
 * @module
 */
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import {
  type Cell,
  type Check,
  formatNumber,
  type Outcome,
  type Plot,
  type Table,
} from "./scenario.ts";

const PLOT_WIDTH_PX = 360;
const PLOT_HEIGHT_PX = 240;

/** The outcome of a scenario with the options of its run. */
export interface Report {
  scenario: string;
  seed: number;
  quick: boolean;
  outcome: Outcome;
}

/** Formats a report as text: tables first, then each check with its target and whether it was met. */
export function formatReport(report: Report): string {
  const tables = report.outcome.tables.map(formatTable);
  const checks = formatTable({
    name: `${report.scenario}: checks, seed ${report.seed}`,
    columns: ["check", "target", "measured", "result"],
    rows: report.outcome.checks.map(checkRow),
  });
  return [...tables, checks].join("\n");
}

/** Writes `<scenario>.json` and one `<scenario>-<plot>.svg` per plot; returns their paths. */
export async function writeReport(
  report: Report,
  folder: string,
): Promise<string[]> {
  await mkdir(folder, { recursive: true });
  const { tables, checks } = report.outcome;
  const { scenario, seed, quick } = report;
  const json = join(folder, `${scenario}.json`);
  const content = { scenario, seed, quick, tables, checks };
  await writeFile(json, `${JSON.stringify(content, undefined, 2)}\n`);
  const paths = [json];
  for (const plot of report.outcome.plots ?? []) {
    const path = join(folder, `${scenario}-${plot.name}.svg`);
    await writeFile(path, await renderSvg(plot));
    paths.push(path);
  }
  return paths;
}

/** Renders a plot as SVG. */
export async function renderSvg(plot: Plot): Promise<string> {
  const specification = {
    width: PLOT_WIDTH_PX,
    height: PLOT_HEIGHT_PX,
    ...plot.specification,
  };
  const compiled = compile(specification as unknown as TopLevelSpec);
  const view = new View(parse(compiled.spec), { renderer: "none" });
  const svg = await view.toSVG();
  view.finalize();
  return svg;
}

function checkRow(check: Check): Cell[] {
  return [
    check.name,
    check.target,
    check.measured,
    check.met ? "met" : "NOT MET",
  ];
}

function formatTable(table: Table): string {
  const rows = [table.columns, ...table.rows].map((row) => row.map(formatCell));
  const widths = table.columns.map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0))
  );
  const lines = rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ")
      .trimEnd()
  );
  const separator = widths.map((width) => "-".repeat(width)).join("  ");
  const [header, ...body] = lines;
  return [`\n${table.name}`, header, separator, ...body, ""].join("\n");
}

function formatCell(cell: Cell): string {
  return typeof cell === "number" ? formatNumber(cell) : cell;
}

/**
 * The bench command: lists scenarios, or runs them and writes tables, checks, JSON and plots.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { cac } from "cac";
import { formatReport, writeReport } from "./report.ts";
import type { Scenario } from "./scenario.ts";
import { SCENARIOS } from "./scenarios.ts";

const DEFAULT_RESULTS_FOLDER = fileURLToPath(
  new URL("../results", import.meta.url),
);

interface Flags {
  list?: boolean;
  seed: number;
  quick?: boolean;
  strict?: boolean;
  out: string;
}

async function main(): Promise<void> {
  const cli = cac("bench");
  cli.command("[...scenarios]", 'Run scenarios by name, or "all"')
    .option("--list", "List all scenarios")
    .option("--seed <number>", "Seed of all random numbers", { default: 1 })
    .option(
      "--quick",
      "Run short versions; their results are not representative",
    )
    .option("--strict", "Exit with 1 when a check is not met")
    .option("--out <folder>", "Output folder of the JSON and SVG files", {
      default: DEFAULT_RESULTS_FOLDER,
    })
    .action(runCommand);
  cli.help();
  cli.parse(process.argv, { run: false });
  await cli.runMatchedCommand();
}

async function runCommand(names: string[], flags: Flags): Promise<void> {
  if (flags.list === true || names.length === 0) {
    print(SCENARIOS.map((s) => `${s.name.padEnd(16)} ${s.description}`));
    return;
  }
  const unknown = names.filter((name) => name !== "all" && !isKnown(name));
  if (unknown.length > 0) {
    print([`Scenario "${unknown.join('", "')}" does not exist; try --list`]);
    process.exitCode = 2;
    return;
  }
  const selected = SCENARIOS.filter((s) =>
    names.includes("all") || names.includes(s.name)
  );
  let unmet = 0;
  for (const scenario of selected) {
    unmet += await runScenario(scenario, flags);
  }
  if (flags.strict === true && unmet > 0) {
    process.exitCode = 1;
  }
}

/** Runs one scenario, writes its report and returns the number of checks that were not met. */
async function runScenario(scenario: Scenario, flags: Flags): Promise<number> {
  const seed = Number(flags.seed);
  const quick = flags.quick === true;
  const clock = (): number => performance.now();
  const outcome = await scenario.run({ seed, quick, clock });
  const report = { scenario: scenario.name, seed, quick, outcome };
  const paths = await writeReport(report, flags.out);
  const unmet = outcome.checks.filter((check) => !check.met).length;
  print([
    formatReport(report),
    `${scenario.name}: ${
      outcome.checks.length - unmet
    } checks met, ${unmet} not met`,
    ...paths.map((path) => `wrote ${path}`),
  ]);
  return unmet;
}

function isKnown(name: string): boolean {
  return SCENARIOS.some((scenario) => scenario.name === name);
}

function print(lines: readonly string[]): void {
  process.stdout.write(`${lines.join("\n")}\n`);
}

await main();

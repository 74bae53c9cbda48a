/**
 * The command `quetzalcove-emulator`.
 *
 * @module
 */
import { appendFileSync, readFileSync } from "node:fs";
import process from "node:process";
import { Inventory, Rules } from "@quetzalcove/core";
import { cac } from "cac";
import { Behaviour } from "./behaviour.ts";
import { runDemo } from "./demo.ts";
import { Fleet } from "./fleet.ts";
import { runLoad } from "./load.ts";

interface FleetFlags {
  inventory: string;
  rules: string;
  entries: string;
  network: string;
  runMs: number;
  record?: string;
}

interface LoadFlags {
  entries: string;
  services: string;
  requests: number;
  width: number;
  seed: number;
}

/** Runs the command line of the emulator. */
export async function main(argv: string[]): Promise<void> {
  const cli = cac("quetzalcove-emulator");
  cli.command(
    "targets",
    "Run targets for every VM of an inventory until SIGTERM",
  )
    .option("--inventory <file>", "Inventory in JSON")
    .option("--rules <file>", "Rules in JSON")
    .option(
      "--entries <addresses>",
      "Service addresses of the entries, with commas between",
    )
    .option("--network <numbers>", "First two numbers of the addresses", {
      default: "127.20",
    })
    .option("--run-ms <ms>", "Run time of a request", { default: 5 })
    .option("--record <file>", "File that gets a line for each run")
    .action(runTargets);
  cli.command(
    "load",
    "Send requests through the entries and print a report in JSON",
  )
    .option(
      "--entries <addresses>",
      "Service addresses of the entries, with commas between",
    )
    .option("--services <names>", "Services, with commas between")
    .option("--requests <count>", "Requests in all", { default: 1_000 })
    .option("--width <count>", "Requests in progress at once", { default: 16 })
    .option("--seed <number>", "Seed of the choices", { default: 1 })
    .action(sendLoad);
  cli.command(
    "demo",
    "Run an example deployment, load it, drain a VM and print a summary",
  )
    .option("--example <name>", "accra or bern", { default: "accra" })
    .option("--requests <count>", "Requests in all", { default: 3_000 })
    .option("--seed <number>", "Seed of the choices", { default: 1 })
    .action(demonstrate);
  cli.help();
  cli.parse(argv, { run: false });
  await cli.runMatchedCommand();
}

async function demonstrate(
  flags: { example: string; requests: number; seed: number },
): Promise<void> {
  if (flags.example !== "accra" && flags.example !== "bern") {
    process.stderr.write(
      `Example "${flags.example}" does not exist; use accra or bern\n`,
    );
    process.exitCode = 2;
    return;
  }
  const { example, requests, seed } = flags;
  process.exitCode = await runDemo({ example, requests, seed }) ? 0 : 1;
}

async function runTargets(flags: FleetFlags): Promise<void> {
  const { record } = flags;
  const fleet = new Fleet({
    inventory: Inventory.parse(
      JSON.parse(readFileSync(flags.inventory, "utf8")),
    ),
    rules: Rules.parse(JSON.parse(readFileSync(flags.rules, "utf8"))),
    entries: flags.entries.split(","),
    network: flags.network,
    usual: Behaviour.parse({ runMs: flags.runMs }),
    record: (run) => {
      if (record !== undefined) {
        appendFileSync(record, `${JSON.stringify(run)}\n`);
      }
    },
    startedAt: Date.now(),
  });
  await fleet.start();
  process.stdout.write(`targets=${fleet.targets().length}\n`);
  process.once("SIGTERM", () => {
    void fleet.stop().then(() => process.exit(0));
  });
}

async function sendLoad(flags: LoadFlags): Promise<void> {
  const report = await runLoad({
    entries: flags.entries.split(","),
    services: flags.services.split(","),
    requests: flags.requests,
    width: flags.width,
    seed: flags.seed,
  });
  process.stdout.write(`${JSON.stringify(report, null, 2)}\n`);
}

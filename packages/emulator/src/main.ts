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
    .option("--inventory <file>", "Inventory file (JSON)")
    .option("--rules <file>", "Rules file (JSON)")
    .option(
      "--entries <addresses>",
      "Service addresses of the entries, comma-separated",
    )
    .option(
      "--network <numbers>",
      "First two octets of the loopback addresses",
      {
        default: "127.20",
      },
    )
    .option("--run-ms <ms>", "Run time of a request in milliseconds", {
      default: 5,
    })
    .option(
      "--record <file>",
      "File to which each run is appended as a line of JSON",
    )
    .action(runTargetsCommand);
  cli.command(
    "load",
    "Send requests through the entries and print a JSON report",
  )
    .option(
      "--entries <addresses>",
      "Service addresses of the entries, comma-separated",
    )
    .option("--services <names>", "Names of the services, comma-separated")
    .option("--requests <count>", "Total number of requests", {
      default: 1_000,
    })
    .option("--width <count>", "Maximum number of requests in progress", {
      default: 16,
    })
    .option("--seed <number>", "Seed of the random numbers", { default: 1 })
    .action(runLoadCommand);
  cli.command(
    "demo",
    "Run an example deployment under load, drain a VM and print a summary",
  )
    .option("--example <name>", "Name of the example: accra or bern", {
      default: "accra",
    })
    .option("--requests <count>", "Total number of requests", {
      default: 3_000,
    })
    .option("--seed <number>", "Seed of the random numbers", { default: 1 })
    .action(runDemoCommand);
  cli.help();
  cli.parse(argv, { run: false });
  await cli.runMatchedCommand();
}

async function runDemoCommand(
  flags: { example: string; requests: number; seed: number },
): Promise<void> {
  if (flags.example !== "accra" && flags.example !== "bern") {
    process.stderr.write(
      `Unknown example "${flags.example}"; expected "accra" or "bern"\n`,
    );
    process.exitCode = 2;
    return;
  }
  const { example, requests, seed } = flags;
  process.exitCode = await runDemo({ example, requests, seed }) ? 0 : 1;
}

async function runTargetsCommand(flags: FleetFlags): Promise<void> {
  const { record } = flags;
  const fleet = new Fleet({
    inventory: Inventory.parse(
      JSON.parse(readFileSync(flags.inventory, "utf8")),
    ),
    rules: Rules.parse(JSON.parse(readFileSync(flags.rules, "utf8"))),
    entries: flags.entries.split(","),
    network: flags.network,
    defaultBehaviour: Behaviour.parse({ runMs: flags.runMs }),
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

async function runLoadCommand(flags: LoadFlags): Promise<void> {
  const report = await runLoad({
    entries: flags.entries.split(","),
    services: flags.services.split(","),
    requests: flags.requests,
    concurrency: flags.width,
    seed: flags.seed,
  });
  process.stdout.write(`${JSON.stringify(report, null, 2)}\n`);
}

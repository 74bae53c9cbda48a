/**
 * Demonstration: starts an example deployment as separate processes, sends load through every entry, drains a VM and
 * prints a summary.
 *
 * @module
 */
import { mkdtempSync, readdirSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import process from "node:process";
import {
  Inventory,
  Rules,
  Settings,
  type Status,
  type Trace,
  type Vms,
} from "@quetzalcove/core";
import { Behaviour } from "./behaviour.ts";
import { callAdmin, eventually } from "./child_process.ts";
import { initializeCluster, startDaemons } from "./deployment.ts";
import { Fleet } from "./fleet.ts";
import { type LoadReport, runLoad } from "./load.ts";

/** Options of the demonstration. */
export interface DemoOptions {
  example: "accra" | "bern";
  requests: number;
  seed: number;
}

interface Deployment {
  settings: Settings[];
  inventory: Inventory;
  rules: Rules;
  folder: string;
}

const WAIT_TIMEOUT_MS = 30_000;
const LOAD_CONCURRENCY = 24;
const RUN_MS = 5;
const NETWORK_PREFIXES = { accra: "127.20", bern: "127.21" } as const;

/**
 * Runs the demonstration and prints a summary. Returns whether all requests were done with their own answers and the VM
 * was drained.
 */
export async function runDemo(options: DemoOptions): Promise<boolean> {
  const deployment = readDeployment(options.example);
  const daemons = startDaemons(deployment.settings, deployment.folder);
  let isFinished = false;
  const fleet = new Fleet({
    inventory: deployment.inventory,
    rules: deployment.rules,
    entries: deployment.settings.map((settings) => settings.listen.service),
    network: NETWORK_PREFIXES[options.example],
    defaultBehaviour: Behaviour.parse({ runMs: RUN_MS }),
    record: () => {},
    startedAt: Date.now(),
  });
  const daemonExit = Promise.race(daemons.map(async (daemon) => {
    const { code } = await daemon.ended;
    if (isFinished) {
      return false;
    }
    printLine(
      `Entry "${daemon.name}" exited with code ${code}; see its log in ${deployment.folder}`,
    );
    return false;
  }));
  try {
    return await Promise.race([
      runScenario(options, deployment, fleet),
      daemonExit,
    ]);
  } finally {
    isFinished = true;
    await fleet.stop();
    await Promise.all(daemons.map((daemon) => daemon.stop()));
  }
}

function readDeployment(example: string): Deployment {
  const source = resolve("examples", example);
  const folder = mkdtempSync(join(tmpdir(), `quetzalcove-${example}-`));
  const files = readdirSync(join(source, "settings")).filter((file) =>
    file.endsWith(".json")
  );
  const settings = files.sort().map((file) => {
    const read = Settings.parse(
      JSON.parse(readFileSync(join(source, "settings", file), "utf8")),
    );
    return {
      ...read,
      ...(read.dataFolder !== undefined &&
        { dataFolder: join(folder, "data", read.entry) }),
      traces: { ...read.traces, folder: join(folder, "traces") },
      stop: { ...read.stop, noticeMs: 0 },
    };
  });
  return {
    settings,
    inventory: Inventory.parse(
      JSON.parse(readFileSync(join(source, "inventory.json"), "utf8")),
    ),
    rules: Rules.parse(
      JSON.parse(readFileSync(join(source, "rules.json"), "utf8")),
    ),
    folder,
  };
}

async function runScenario(
  options: DemoOptions,
  deployment: Deployment,
  fleet: Fleet,
): Promise<boolean> {
  const { settings, inventory, rules } = deployment;
  const admin = settings[0]?.listen.admin ?? "";
  printLine(
    `Starting ${settings.length} entries of the example "${options.example}"`,
  );
  const formed = await eventually(
    () => initializeCluster(settings),
    WAIT_TIMEOUT_MS,
  );
  const change = { change: `demo-${Date.now()}`, base: 0, inventory, rules };
  const accepted = await callAdmin<{ revision: number }>(
    admin,
    "/v1/configuration",
    change,
  );
  await fleet.start();
  const targets = fleet.targets().length;
  const ready = await eventually(
    () => allTargetsKnown(admin, targets),
    WAIT_TIMEOUT_MS,
  );
  if (!formed || accepted?.status !== 200 || !ready) {
    printLine(
      `Deployment not ready: cluster formed=${formed}, configuration status=${accepted?.status}, all targets known=${ready}`,
    );
    return false;
  }
  const load = await runLoad({
    entries: settings.map((one) => one.listen.service),
    services: rules.services.map((service) => service.name),
    requests: options.requests,
    concurrency: LOAD_CONCURRENCY,
    seed: options.seed,
  });
  const vm = inventory.vms[0]?.name ?? "";
  const drained = await drainVm(admin, vm);
  const spans = await readSpans(admin, load.trace);
  await printSummary({ admin, deployment, load, vm, drained, spans, targets });
  const done = load.outcomes["done"] ?? 0;
  return drained && load.mismatched === 0 && done === load.requests;
}

async function allTargetsKnown(
  admin: string,
  targets: number,
): Promise<boolean> {
  const status = await callAdmin<Status>(admin, "/v1/status");
  const value = status?.value;
  return value?.counts?.targets === targets &&
    value.inForceRevision === value.revision;
}

async function drainVm(admin: string, vm: string): Promise<boolean> {
  await callAdmin(admin, `/v1/vms/${vm}/drain`, {});
  return await eventually(async () => {
    const vms = await callAdmin<Vms>(admin, "/v1/vms");
    return vms?.value.vms?.some((one) =>
      one.name === vm && one.phase === "drained"
    ) ?? false;
  }, WAIT_TIMEOUT_MS);
}

async function readSpans(
  admin: string,
  trace: string | undefined,
): Promise<string[]> {
  const answer = await callAdmin<Trace>(admin, `/v1/traces/${trace ?? "none"}`);
  return (answer?.value.spans ?? []).map((span) => {
    return `${span.name} ${span.durationMs.toFixed(1)} ms`;
  });
}

interface Summary {
  admin: string;
  deployment: Deployment;
  load: LoadReport;
  vm: string;
  drained: boolean;
  spans: string[];
  targets: number;
}

async function printSummary(summary: Summary): Promise<void> {
  const { admin, deployment, load, vm, drained, spans, targets } = summary;
  const status = (await callAdmin<Status>(admin, "/v1/status"))?.value;
  const outcomes = Object.entries(load.outcomes).map(([name, count]) =>
    `${count} ${name}`
  );
  printLine("");
  printLine("Summary");
  printLine(
    `  entries      ${status?.entries.length ?? 0}, leader ${
      status?.leader ?? "none"
    }`,
  );
  printLine(
    `  VMs          ${status?.counts.vms ?? 0}, targets announced: ${targets}`,
  );
  printLine(
    `  requests     ${load.requests}: ${
      outcomes.join(", ")
    }; answers to other requests: ${load.mismatched}`,
  );
  printLine(
    `  latency      p50 ${load.p50Ms.toFixed(1)} ms, p99 ${
      load.p99Ms.toFixed(1)
    } ms`,
  );
  printLine(
    `  drained VM   ${vm}: ${
      drained ? "drained, no request interrupted" : "not drained in time"
    }`,
  );
  printLine(`  sample trace ${load.trace ?? "none"}: ${spans.join(", ")}`);
  printLine(`  traces       ${join(deployment.folder, "traces")}`);
  printLine(`  logs         ${join(deployment.folder, "logs")}`);
}

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

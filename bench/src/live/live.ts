/**
 * Latencies of live processes: until a change is in force on nine entries, until a command is committed again after
 * the loss of the leader, and of requests that must run at most once.
 *
 * @module
 */
import { join } from "node:path";
import type { Settings, Status } from "@quetzalcove/core";
import {
  callAdmin,
  type Child,
  eventually,
  initializeCluster,
  startDaemons,
} from "@quetzalcove/emulator";
import { build } from "hdr-histogram-js";
import { Pool } from "undici";
import { inventoryOf, rulesOf } from "../capacity/fleet_data.ts";
import {
  atMost,
  formatNumber,
  type Outcome,
  type RunOptions,
  type Scenario,
  type Table,
} from "../scenario.ts";
import {
  adminOf,
  type LiveCluster,
  READY_TIMEOUT_MS,
  startCluster,
  stopCluster,
} from "./live_cluster.ts";

const VMS = 42;
const CHANGES = 40;
const QUICK_CHANGES = 5;
const LEADER_LOSSES = 5;
const QUICK_LEADER_LOSSES = 1;
const REQUESTS = 400;
const POLL_MS = 10;
const US_PER_MS = 1_000;
const SIGNIFICANT_DIGITS = 3;

/** A change must be in force everywhere within this time. */
const MAX_IN_FORCE_MS = 8_000;

export const live: Scenario = {
  name: "live",
  description:
    "Latencies of nine live daemons: changes in force, loss of the leader, at-most-once requests",
  run: benchLive,
};

/** Runs the scenario. */
export async function benchLive(run: RunOptions): Promise<Outcome> {
  const cluster = await startCluster(VMS);
  try {
    const requests = await measureRequests(cluster);
    const changes = await measureChanges(
      cluster,
      run.quick ? QUICK_CHANGES : CHANGES,
    );
    const losses = await measureLeaderLosses(
      cluster,
      run.quick ? QUICK_LEADER_LOSSES : LEADER_LOSSES,
    );
    return {
      tables: [requests, changes.table, losses],
      checks: [
        atMost(
          "change in force on 9 entries, p99, ms",
          changes.p99Ms,
          MAX_IN_FORCE_MS,
        ),
      ],
    };
  } finally {
    await stopCluster(cluster);
  }
}

/** Measures sequential requests, repeatable and at-most-once, at an entry without a replica. */
async function measureRequests({ settings }: LiveCluster): Promise<Table> {
  const pool = new Pool(`http://${settings.at(-1)?.listen.service}`, {
    connections: 1,
  });
  const measureLatency = async (
    keyed: boolean,
  ): Promise<{ p50Ms: number; p99Ms: number }> => {
    const histogram = build({
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    });
    for (let number = 0; number < REQUESTS; number++) {
      const startedAt = performance.now();
      const answer = await pool.request({
        method: keyed ? "POST" : "GET",
        path: "/service-0/x",
        body: keyed ? "estimate" : null,
        headers: keyed ? { "idempotency-key": `bench-${number}` } : {},
      });
      await answer.body.dump();
      if (answer.statusCode === 200) {
        histogram.recordValue(
          Math.round((performance.now() - startedAt) * US_PER_MS),
        );
      }
    }
    return {
      p50Ms: histogram.getValueAtPercentile(50) / US_PER_MS,
      p99Ms: histogram.getValueAtPercentile(99) / US_PER_MS,
    };
  };
  await measureLatency(false);
  const plain = await measureLatency(false);
  const keyed = await measureLatency(true);
  await pool.close();
  const ratio = (a: number, b: number): string => formatNumber(a / b);
  return {
    name: "one request at a time, target runs 5 ms",
    columns: ["request", "p50 ms", "p99 ms", "ratio of p50"],
    rows: [
      ["repeatable", formatNumber(plain.p50Ms), formatNumber(plain.p99Ms), "1"],
      [
        "at most once",
        formatNumber(keyed.p50Ms),
        formatNumber(keyed.p99Ms),
        ratio(keyed.p50Ms, plain.p50Ms),
      ],
    ],
  };
}

async function measureChanges(
  { settings }: LiveCluster,
  count: number,
): Promise<{ table: Table; p99Ms: number }> {
  const histogram = build({
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  const admin = adminOf(settings, 0);
  for (let number = 0; number < count; number++) {
    const base =
      (await callAdmin<Status>(admin, "/v1/status"))?.value.version ?? 0;
    const startedAt = performance.now();
    const accepted = await callAdmin<{ revision: number }>(
      admin,
      "/v1/configuration",
      {
        change: `change-${number}`,
        base,
        inventory: inventoryOf(VMS),
        rules: rulesOf(),
      },
    );
    const revision = accepted?.value.revision ?? 0;
    await pollUntil(async () => {
      const path = `/v1/force?revision=${revision}`;
      return (await callAdmin<{ inForce: boolean }>(admin, path))?.value
        .inForce === true;
    });
    histogram.recordValue(
      Math.round((performance.now() - startedAt) * US_PER_MS),
    );
  }
  const p50Ms = histogram.getValueAtPercentile(50) / US_PER_MS;
  const p99Ms = histogram.getValueAtPercentile(99) / US_PER_MS;
  const table = {
    name: `change sent to in force on ${settings.length} entries`,
    columns: ["changes", "p50 ms", "p99 ms", "max ms"],
    rows: [[
      count,
      formatNumber(p50Ms),
      formatNumber(p99Ms),
      formatNumber(histogram.maxValue / US_PER_MS),
    ]],
  };
  return { table, p99Ms };
}

async function measureLeaderLosses(
  cluster: LiveCluster,
  count: number,
): Promise<Table> {
  const rows: string[][] = [];
  for (const loss of ["kill", "freeze"] as const) {
    const durationsMs: number[] = [];
    for (let number = 0; number < count; number++) {
      durationsMs.push(await measureLeaderLoss(cluster, loss));
    }
    durationsMs.sort((a, b) => a - b);
    const median = durationsMs[Math.floor(durationsMs.length / 2)] ?? 0;
    rows.push([
      loss,
      String(count),
      formatNumber(median),
      formatNumber(durationsMs.at(-1) ?? 0),
    ]);
  }
  return {
    name: "leader lost until a command is committed again",
    columns: ["loss", "times", "median ms", "max ms"],
    rows,
  };
}

/** Kills or freezes the leader, then proposes through an entry without a replica until a command is committed. */
async function measureLeaderLoss(
  { settings, daemons }: LiveCluster,
  loss: "kill" | "freeze",
): Promise<number> {
  const admin = settings.at(-1)?.listen.admin ?? "";
  const leader = (await callAdmin<Status>(admin, "/v1/status"))?.value.leader;
  const index = settings.findIndex((one) => one.entry === leader);
  const daemon = daemons[index];
  const startedAt = performance.now();
  daemon?.signal(loss === "kill" ? "SIGKILL" : "SIGSTOP");
  await pollUntil(async () => {
    const answer = await callAdmin(admin, "/v1/vms/vm-0/resume", {});
    return answer?.status === 200;
  });
  const elapsedMs = performance.now() - startedAt;
  await restoreDaemon(settings, daemons, index, loss);
  return elapsedMs;
}

async function restoreDaemon(
  settings: readonly Settings[],
  daemons: Child[],
  index: number,
  loss: "kill" | "freeze",
): Promise<void> {
  if (loss === "freeze") {
    daemons[index]?.signal("SIGCONT");
  } else {
    await daemons[index]?.ended;
    const one = settings[index];
    const folder = join(one?.dataFolder ?? "", "..", "..");
    const [daemon] = one === undefined ? [] : startDaemons([one], folder);
    if (daemon !== undefined) {
      daemons[index] = daemon;
    }
  }
  await eventually(() => initializeCluster(settings), READY_TIMEOUT_MS);
}

async function pollUntil(check: () => Promise<boolean>): Promise<void> {
  const deadline = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < deadline && !await check()) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

/**
 * Times of the live processes: how long a change takes to be in force on nine entries, how long the cluster is
 * without a leader, and what a request costs that must not be repeated.
 *
 * @module
 */
import { join } from "node:path";
import type { Settings, Status } from "@quetzalcove/core";
import {
  callAdmin,
  type Child,
  eventually,
  isFormed,
  startDaemons,
} from "@quetzalcove/emulator";
import { build } from "hdr-histogram-js";
import { Pool } from "undici";
import { inventoryOf, rulesOf } from "../capacity/fleet_data.ts";
import {
  atMost,
  decimal,
  type Outcome,
  type Run,
  type Scenario,
  type Table,
} from "../scenario.ts";
import {
  adminOf,
  PATIENCE_MS,
  type Site,
  startSite,
  stopSite,
} from "./site.ts";

const VMS = 42;
const CHANGES = 40;
const QUICK_CHANGES = 5;
const LOSSES = 5;
const QUICK_LOSSES = 1;
const REQUESTS = 400;
const POLL_MS = 10;
const US_PER_MS = 1_000;
const SIGNIFICANT_DIGITS = 3;

/** A change must be in force everywhere within this time. */
const IN_FORCE_MS = 8_000;

export const live: Scenario = {
  name: "live",
  description:
    "Times of nine live daemons: changes in force, loss of the leader, at-most-once requests",
  run: benchLive,
};

/** Runs the scenario. */
export async function benchLive(run: Run): Promise<Outcome> {
  const site = await startSite(VMS);
  try {
    const requests = await measureRequests(site);
    const changes = await measureChanges(
      site,
      run.quick ? QUICK_CHANGES : CHANGES,
    );
    const losses = await measureLosses(site, run.quick ? QUICK_LOSSES : LOSSES);
    return {
      tables: [requests, changes.table, losses],
      checks: [
        atMost(
          "change in force on 9 entries, p99, ms",
          changes.p99Ms,
          IN_FORCE_MS,
        ),
      ],
    };
  } finally {
    await stopSite(site);
  }
}

/** Latency of requests one after the other, repeatable and not, at an entry that holds no replica. */
async function measureRequests({ settings }: Site): Promise<Table> {
  const pool = new Pool(`http://${settings.at(-1)?.listen.service}`, {
    connections: 1,
  });
  const time = async (
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
  await time(false);
  const plain = await time(false);
  const keyed = await time(true);
  await pool.close();
  const ratio = (a: number, b: number): string => decimal(a / b);
  return {
    name: "one request at a time, target runs 5 ms",
    columns: ["request", "p50 ms", "p99 ms", "ratio of p50"],
    rows: [
      ["repeatable", decimal(plain.p50Ms), decimal(plain.p99Ms), "1"],
      [
        "at most once",
        decimal(keyed.p50Ms),
        decimal(keyed.p99Ms),
        ratio(keyed.p50Ms, plain.p50Ms),
      ],
    ],
  };
}

async function measureChanges(
  { settings }: Site,
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
    await poll(async () => {
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
      decimal(p50Ms),
      decimal(p99Ms),
      decimal(histogram.maxValue / US_PER_MS),
    ]],
  };
  return { table, p99Ms };
}

async function measureLosses(site: Site, count: number): Promise<Table> {
  const rows: string[][] = [];
  for (const loss of ["kill", "freeze"] as const) {
    const times: number[] = [];
    for (let number = 0; number < count; number++) {
      times.push(await timeWithoutLeader(site, loss));
    }
    times.sort((a, b) => a - b);
    const median = times[Math.floor(times.length / 2)] ?? 0;
    rows.push([
      loss,
      String(count),
      decimal(median),
      decimal(times.at(-1) ?? 0),
    ]);
  }
  return {
    name: "leader lost until a command is committed again",
    columns: ["loss", "times", "median ms", "max ms"],
    rows,
  };
}

/** Loses the leader, then proposes through an entry that is no replica until a command is committed. */
async function timeWithoutLeader(
  { settings, daemons }: Site,
  loss: "kill" | "freeze",
): Promise<number> {
  const admin = settings.at(-1)?.listen.admin ?? "";
  const leader = (await callAdmin<Status>(admin, "/v1/status"))?.value.leader;
  const index = settings.findIndex((one) => one.entry === leader);
  const daemon = daemons[index];
  const startedAt = performance.now();
  daemon?.signal(loss === "kill" ? "SIGKILL" : "SIGSTOP");
  await poll(async () => {
    const answer = await callAdmin(admin, "/v1/vms/vm-0/resume", {});
    return answer?.status === 200;
  });
  const took = performance.now() - startedAt;
  await restore(settings, daemons, index, loss);
  return took;
}

async function restore(
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
  await eventually(() => isFormed(settings), PATIENCE_MS);
}

async function poll(check: () => Promise<boolean>): Promise<void> {
  const deadline = performance.now() + PATIENCE_MS;
  while (performance.now() < deadline && !await check()) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

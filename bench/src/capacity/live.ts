/**
 * Processor time, memory and link traffic of real daemons with fleets of several sizes.
 *
 * @module
 */
import type { Settings, Status } from "@quetzalcove/core";
import { callAdmin } from "@quetzalcove/emulator";
import { request } from "undici";
import { adminOf, startSite, stopSite } from "../live/site.ts";
import type { Series } from "./pure.ts";

/** How the live measurement runs. */
export interface LivePlan {
  sizes: readonly number[];
  /** How long each size is watched, in milliseconds. */
  watchMs: number;
}

/** What one daemon used. */
interface Use {
  cpuSeconds: number;
  rssMb: number;
  sentBytes: number;
  receivedBytes: number;
}

const SETTLE_MS = 5_000;
const BYTES_PER_MB = 1_048_576;
const BYTES_PER_KB = 1_024;

/** Watches a cluster of nine daemons, idle but for control, at each size. */
export async function measureLive(plan: LivePlan): Promise<Series[]> {
  const found = new Map<string, Series>();
  for (const size of plan.sizes) {
    for (
      const { role, quantity, unit, value } of await watchSize(
        size,
        plan.watchMs,
      )
    ) {
      const key = `${role}/${quantity}/${unit}`;
      const known = found.get(key) ??
        { role, quantity, unit, per: "VM", samples: [] };
      known.samples.push({ size, value });
      found.set(key, known);
    }
  }
  return [...found.values()];
}

interface Figure {
  role: string;
  quantity: string;
  unit: string;
  value: number;
}

async function watchSize(size: number, watchMs: number): Promise<Figure[]> {
  const site = await startSite(size);
  try {
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
    const admin = adminOf(site.settings, 0);
    const status = await callAdmin<Status>(admin, "/v1/status");
    return await watch(site.settings, status?.value.leader ?? "", watchMs);
  } finally {
    await stopSite(site);
  }
}

async function watch(
  settings: readonly Settings[],
  leader: string,
  watchMs: number,
): Promise<Figure[]> {
  const before = await Promise.all(
    settings.map((one) => useOf(one.listen.admin)),
  );
  await new Promise((resolve) => setTimeout(resolve, watchMs));
  const after = await Promise.all(
    settings.map((one) => useOf(one.listen.admin)),
  );
  const roleOf = (one: Settings): string => {
    if (one.entry === leader) {
      return "daemon: leader";
    }
    return one.dataFolder === undefined ? "daemon: entry" : "daemon: replica";
  };
  const byRole = new Map<string, Use[]>();
  settings.forEach((one, index) => {
    const use = difference(before[index], after[index]);
    byRole.set(roleOf(one), [...(byRole.get(roleOf(one)) ?? []), use]);
  });
  return [...byRole].flatMap(([role, uses]) => figuresOf(role, uses, watchMs));
}

function difference(before: Use | undefined, after: Use | undefined): Use {
  return {
    cpuSeconds: (after?.cpuSeconds ?? 0) - (before?.cpuSeconds ?? 0),
    rssMb: after?.rssMb ?? 0,
    sentBytes: (after?.sentBytes ?? 0) - (before?.sentBytes ?? 0),
    receivedBytes: (after?.receivedBytes ?? 0) - (before?.receivedBytes ?? 0),
  };
}

function figuresOf(
  role: string,
  uses: readonly Use[],
  watchMs: number,
): Figure[] {
  const seconds = watchMs / 1_000;
  const mean = (of: (use: Use) => number): number => {
    return uses.reduce((sum, use) => sum + of(use), 0) / uses.length;
  };
  return [
    {
      role,
      quantity: "processor",
      unit: "% of a core",
      value: mean((use) => use.cpuSeconds) / seconds * 100,
    },
    {
      role,
      quantity: "resident memory",
      unit: "MB",
      value: mean((use) => use.rssMb),
    },
    {
      role,
      quantity: "links, sent",
      unit: "KB/s",
      value: mean((use) => use.sentBytes) / BYTES_PER_KB / seconds,
    },
    {
      role,
      quantity: "links, received",
      unit: "KB/s",
      value: mean((use) => use.receivedBytes) / BYTES_PER_KB / seconds,
    },
  ];
}

async function useOf(admin: string): Promise<Use> {
  const answer = await request(`http://${admin}/metrics`);
  const text = await answer.body.text();
  const read = (name: string): number => {
    const line = text.split("\n").find((one) => one.startsWith(`${name} `));
    return Number(line?.slice(name.length + 1) ?? 0);
  };
  return {
    cpuSeconds: read("process_cpu_seconds_total"),
    rssMb: read("process_resident_memory_bytes") / BYTES_PER_MB,
    sentBytes: read('quetzalcove_link_bytes_total{direction="sent"}'),
    receivedBytes: read('quetzalcove_link_bytes_total{direction="received"}'),
  };
}

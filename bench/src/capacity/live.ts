/**
 * CPU time, memory and link traffic of real daemons with fleets of several sizes.
 *
 * @module
 */
import type { Settings, Status } from "@quetzalcove/core";
import { callAdmin } from "@quetzalcove/emulator";
import { request } from "undici";
import { adminOf, startCluster, stopCluster } from "../live/live_cluster.ts";
import type { Series } from "./in_process.ts";

/** Options of the live measurement. */
export interface LiveOptions {
  sizes: readonly number[];
  /** How long each size is observed, in milliseconds. */
  observationMs: number;
}

/** Resources used by one daemon. */
interface ResourceUsage {
  cpuSeconds: number;
  rssMb: number;
  sentBytes: number;
  receivedBytes: number;
}

const WARM_UP_MS = 5_000;
const BYTES_PER_MB = 1_048_576;
const BYTES_PER_KB = 1_024;

/** Measures nine daemons without requests, so that only control traffic remains, at each fleet size. */
export async function measureLive(options: LiveOptions): Promise<Series[]> {
  const seriesByKey = new Map<string, Series>();
  for (const size of options.sizes) {
    for (
      const { role, quantity, unit, value } of await measureSize(
        size,
        options.observationMs,
      )
    ) {
      const key = `${role}/${quantity}/${unit}`;
      const series = seriesByKey.get(key) ??
        { role, quantity, unit, per: "VM", samples: [] };
      series.samples.push({ size, value });
      seriesByKey.set(key, series);
    }
  }
  return [...seriesByKey.values()];
}

interface Measurement {
  role: string;
  quantity: string;
  unit: string;
  value: number;
}

async function measureSize(
  size: number,
  observationMs: number,
): Promise<Measurement[]> {
  const cluster = await startCluster(size);
  try {
    await new Promise((resolve) => setTimeout(resolve, WARM_UP_MS));
    const admin = adminOf(cluster.settings, 0);
    const status = await callAdmin<Status>(admin, "/v1/status");
    return await measureRoles(
      cluster.settings,
      status?.value.leader ?? "",
      observationMs,
    );
  } finally {
    await stopCluster(cluster);
  }
}

async function measureRoles(
  settings: readonly Settings[],
  leader: string,
  observationMs: number,
): Promise<Measurement[]> {
  const before = await Promise.all(
    settings.map((daemon) => readUsage(daemon.listen.admin)),
  );
  await new Promise((resolve) => setTimeout(resolve, observationMs));
  const after = await Promise.all(
    settings.map((daemon) => readUsage(daemon.listen.admin)),
  );
  const roleOf = (daemon: Settings): string => {
    if (daemon.entry === leader) {
      return "daemon: leader";
    }
    return daemon.dataFolder === undefined
      ? "daemon: entry"
      : "daemon: replica";
  };
  const byRole = new Map<string, ResourceUsage[]>();
  settings.forEach((daemon, index) => {
    const usage = usageDelta(before[index], after[index]);
    byRole.set(roleOf(daemon), [...(byRole.get(roleOf(daemon)) ?? []), usage]);
  });
  return [...byRole].flatMap(([role, usages]) =>
    measurementsOf(role, usages, observationMs)
  );
}

function usageDelta(
  before: ResourceUsage | undefined,
  after: ResourceUsage | undefined,
): ResourceUsage {
  return {
    cpuSeconds: (after?.cpuSeconds ?? 0) - (before?.cpuSeconds ?? 0),
    rssMb: after?.rssMb ?? 0,
    sentBytes: (after?.sentBytes ?? 0) - (before?.sentBytes ?? 0),
    receivedBytes: (after?.receivedBytes ?? 0) - (before?.receivedBytes ?? 0),
  };
}

function measurementsOf(
  role: string,
  usages: readonly ResourceUsage[],
  observationMs: number,
): Measurement[] {
  const seconds = observationMs / 1_000;
  const mean = (value: (usage: ResourceUsage) => number): number => {
    return usages.reduce((sum, usage) => sum + value(usage), 0) / usages.length;
  };
  return [
    {
      role,
      quantity: "processor",
      unit: "% of a core",
      value: mean((usage) => usage.cpuSeconds) / seconds * 100,
    },
    {
      role,
      quantity: "resident memory",
      unit: "MB",
      value: mean((usage) => usage.rssMb),
    },
    {
      role,
      quantity: "links, sent",
      unit: "KB/s",
      value: mean((usage) => usage.sentBytes) / BYTES_PER_KB / seconds,
    },
    {
      role,
      quantity: "links, received",
      unit: "KB/s",
      value: mean((usage) => usage.receivedBytes) / BYTES_PER_KB / seconds,
    },
  ];
}

async function readUsage(admin: string): Promise<ResourceUsage> {
  const answer = await request(`http://${admin}/metrics`);
  const text = await answer.body.text();
  const read = (name: string): number => {
    const line = text.split("\n").find((candidate) =>
      candidate.startsWith(`${name} `)
    );
    return Number(line?.slice(name.length + 1) ?? 0);
  };
  return {
    cpuSeconds: read("process_cpu_seconds_total"),
    rssMb: read("process_resident_memory_bytes") / BYTES_PER_MB,
    sentBytes: read('quetzalcove_link_bytes_total{direction="sent"}'),
    receivedBytes: read('quetzalcove_link_bytes_total{direction="received"}'),
  };
}

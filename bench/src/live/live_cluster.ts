/**
 * A cluster of nine live daemons with an emulated fleet, for measurements.
 *
 * @module
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import type { Settings, Status } from "@quetzalcove/core";
import {
  Behaviour,
  callAdmin,
  type Child,
  eventually,
  Fleet,
  generateSettings,
  initializeCluster,
  startDaemons,
} from "@quetzalcove/emulator";
import { inventoryOf, rulesOf, TWO_YEAR_PLAN } from "../capacity/fleet_data.ts";

/** Longest wait for the cluster to reach an expected state, in milliseconds. */
export const READY_TIMEOUT_MS = 60_000;

/** Run time of a request at a target, in milliseconds. */
const REQUEST_RUN_MS = 5;

/** The processes of a measurement. */
export interface LiveCluster {
  settings: Settings[];
  daemons: Child[];
  fleet: Fleet;
  folder: string;
}

/** Starts daemons and targets, and waits until the leader knows every target. */
export async function startCluster(vms: number): Promise<LiveCluster> {
  const folder = mkdtempSync(join(tmpdir(), "quetzalcove-bench-"));
  const network = `127.${60 + (process.pid % 60)}.${process.pid % 250}`;
  const { entries, replicas } = TWO_YEAR_PLAN;
  const settings = generateSettings({ entries, replicas, network, folder });
  const daemons = startDaemons(settings, folder);
  const inventory = inventoryOf(vms);
  const rules = rulesOf();
  const fleet = new Fleet({
    inventory,
    rules,
    entries: settings.map((one) => one.listen.service),
    network: `127.${130 + (process.pid % 60)}`,
    defaultBehaviour: Behaviour.parse({ runMs: REQUEST_RUN_MS }),
    record: () => {},
    startedAt: Date.now(),
  });
  await eventually(() => initializeCluster(settings), READY_TIMEOUT_MS);
  const admin = adminOf(settings, 0);
  const change = { change: "first", base: 0, inventory, rules };
  await callAdmin(admin, "/v1/configuration", change);
  await fleet.start();
  await eventually(async () => {
    const status = await callAdmin<Status>(admin, "/v1/status");
    return status?.value.counts?.targets === vms;
  }, READY_TIMEOUT_MS);
  return { settings, daemons, fleet, folder };
}

/** Kills all processes and removes their files. */
export async function stopCluster(
  { daemons, fleet, folder }: LiveCluster,
): Promise<void> {
  await fleet.stop();
  daemons.forEach((daemon) => {
    daemon.signal("SIGCONT");
    daemon.signal("SIGKILL");
  });
  await Promise.all(daemons.map((daemon) => daemon.ended));
  rmSync(folder, { recursive: true, force: true });
}

/** Returns the admin address of one daemon. */
export function adminOf(settings: readonly Settings[], index: number): string {
  return settings[index]?.listen.admin ?? "";
}

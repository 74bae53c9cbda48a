/**
 * Nine live daemons with an emulated fleet, for measurements.
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
  isFormed,
  settingsFor,
  startDaemons,
} from "@quetzalcove/emulator";
import { inventoryOf, PLAN, rulesOf } from "../capacity/fleet_data.ts";

/** Longest wait for the site to be ready, in milliseconds. */
export const PATIENCE_MS = 60_000;

/** Run time of a request at a target, in milliseconds. */
const RUN_MS = 5;

/** The processes of a measurement. */
export interface Site {
  settings: Settings[];
  daemons: Child[];
  fleet: Fleet;
  folder: string;
}

/** Starts daemons and targets, and waits until the leader knows every target. */
export async function startSite(vms: number): Promise<Site> {
  const folder = mkdtempSync(join(tmpdir(), "quetzalcove-bench-"));
  const network = `127.${60 + (process.pid % 60)}.${process.pid % 250}`;
  const { entries, replicas } = PLAN;
  const settings = settingsFor({ entries, replicas, network, folder });
  const daemons = startDaemons(settings, folder);
  const inventory = inventoryOf(vms);
  const rules = rulesOf();
  const fleet = new Fleet({
    inventory,
    rules,
    entries: settings.map((one) => one.listen.service),
    network: `127.${130 + (process.pid % 60)}`,
    usual: Behaviour.parse({ runMs: RUN_MS }),
    record: () => {},
    startedAt: Date.now(),
  });
  await eventually(() => isFormed(settings), PATIENCE_MS);
  const admin = adminOf(settings, 0);
  const change = { change: "first", base: 0, inventory, rules };
  await callAdmin(admin, "/v1/configuration", change);
  await fleet.start();
  await eventually(async () => {
    const status = await callAdmin<Status>(admin, "/v1/status");
    return status?.value.counts?.targets === vms;
  }, PATIENCE_MS);
  return { settings, daemons, fleet, folder };
}

/** Ends all processes and removes their files. */
export async function stopSite(
  { daemons, fleet, folder }: Site,
): Promise<void> {
  await fleet.stop();
  daemons.forEach((daemon) => {
    daemon.signal("SIGCONT");
    daemon.signal("SIGKILL");
  });
  await Promise.all(daemons.map((daemon) => daemon.ended));
  rmSync(folder, { recursive: true, force: true });
}

/** The administration address of one daemon. */
export function adminOf(settings: readonly Settings[], index: number): string {
  return settings[index]?.listen.admin ?? "";
}

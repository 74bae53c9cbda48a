/**
 * The incident of a seed, which strikes while maintenance is under way.
 *
 * @module
 */
import type { Inventory } from "@quetzalcove/core";
import { between, randomOf } from "./random.ts";

/** What goes wrong when the given number of VMs has stopped for maintenance. */
export interface Incident {
  kind: "none" | "zone" | "rack" | "no-return" | "two-vms";
  afterStops: number;
  /** VMs that the incident takes down; for `no-return`, all that reboot until it ends. */
  vms: string[];
  durationMs: number;
}

const KINDS = [
  "none",
  "none",
  "none",
  "none",
  "zone",
  "rack",
  "no-return",
  "two-vms",
] as const;
const HOUR_MS = 3_600_000;
const MIN_HOURS = 1;
const MAX_HOURS = 4;
const INCIDENT_STREAM = 1_000_003;

/** Draws the incident of a seed; half of the seeds have none, and the kinds take turns on the rest. */
export function incidentOf(seed: number, inventory: Inventory): Incident {
  const random = randomOf(seed, INCIDENT_STREAM);
  const kind = KINDS[seed % KINDS.length] ?? "zone";
  const { vms, racks, zones } = inventory;
  const rack = racks[Math.floor(random() * racks.length)];
  const zone = zones[Math.floor(random() * zones.length)];
  const inZone = new Set(
    racks.filter((r) => r.zone === zone?.name).map((r) => r.name),
  );
  const first = Math.floor(random() * vms.length);
  const struck = {
    none: [],
    zone: vms.filter((vm) => inZone.has(vm.rack)),
    rack: vms.filter((vm) => vm.rack === rack?.name),
    "no-return": [],
    "two-vms": vms.filter((_, i) =>
      i === first || i === (first + 1) % vms.length
    ),
  };
  return {
    kind,
    afterStops: 1 + Math.floor(random() * vms.length),
    vms: struck[kind].map((vm) => vm.name),
    durationMs: between(random, MIN_HOURS, MAX_HOURS) * HOUR_MS,
  };
}

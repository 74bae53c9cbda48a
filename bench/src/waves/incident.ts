/**
 * The incident of a seed, which occurs while maintenance is in progress.
 *
 * @module
 */
import type { Inventory } from "@quetzalcove/core";
import { between, randomStream } from "./random.ts";

/** A failure that occurs once the given number of VMs has been drained for maintenance. */
export interface Incident {
  kind: "none" | "zone" | "rack" | "no-return" | "two-vms";
  afterDrains: number;
  /** VMs that the incident takes down; empty for `no-return`, which affects every VM that reboots until it ends. */
  vms: string[];
  durationMs: number;
}

const INCIDENT_KINDS = [
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
const MIN_DURATION_HOURS = 1;
const MAX_DURATION_HOURS = 4;
const INCIDENT_STREAM = 1_000_003;

/** Chooses the incident of a seed: half of the seeds have none, the others cycle through the kinds. */
export function incidentOf(seed: number, inventory: Inventory): Incident {
  const random = randomStream(seed, INCIDENT_STREAM);
  const kind = INCIDENT_KINDS[seed % INCIDENT_KINDS.length] ?? "zone";
  const { vms, racks, zones } = inventory;
  const rack = racks[Math.floor(random() * racks.length)];
  const zone = zones[Math.floor(random() * zones.length)];
  const inZone = new Set(
    racks.filter((r) => r.zone === zone?.name).map((r) => r.name),
  );
  const firstIndex = Math.floor(random() * vms.length);
  const affected = {
    none: [],
    zone: vms.filter((vm) => inZone.has(vm.rack)),
    rack: vms.filter((vm) => vm.rack === rack?.name),
    "no-return": [],
    "two-vms": vms.filter((_, i) =>
      i === firstIndex || i === (firstIndex + 1) % vms.length
    ),
  };
  return {
    kind,
    afterDrains: 1 + Math.floor(random() * vms.length),
    vms: affected[kind].map((vm) => vm.name),
    durationMs: between(random, MIN_DURATION_HOURS, MAX_DURATION_HOURS) *
      HOUR_MS,
  };
}

/**
 * The inventory: the operators' VMs, their racks and zones, and the pools they belong to.
 *
 * @module
 */
import { z } from "zod";
import { Address, Name } from "./names.ts";

/** An availability zone. */
export const Zone = z.strictObject({
  name: Name.describe("Name of the availability zone."),
  region: Name.describe("Region that the zone lies in."),
});
export type Zone = z.infer<typeof Zone>;

export const Rack = z.strictObject({
  name: Name.describe("Name of the rack."),
  zone: Name.describe("Availability zone that the rack stands in."),
});
export type Rack = z.infer<typeof Rack>;

export const Pool = z.strictObject({
  name: Name.describe("Name of the pool."),
});
export type Pool = z.infer<typeof Pool>;

/** A virtual machine. Its zone is the zone of its rack. */
export const Vm = z.strictObject({
  name: Name.describe("Name of the VM."),
  rack: Name.describe("Rack that the VM runs in; it gives the VM its zone."),
  pool: Name.describe("The one pool that the VM belongs to."),
  cores: z.number().positive().describe("Processor cores."),
  memoryGb: z.number().positive().describe("Memory."),
  accelerators: z.number().int().nonnegative().default(0).describe(
    "Accelerators.",
  ),
  agent: Address.optional().describe(
    "Address of the platform agent that drains and reboots this VM; a VM without one is maintained by hand.",
  ),
});
export type Vm = z.infer<typeof Vm>;

export const Inventory = z.strictObject({
  zones: z.array(Zone).describe("Availability zones."),
  racks: z.array(Rack).describe("Racks."),
  pools: z.array(Pool).describe("Pools."),
  vms: z.array(Vm).describe("VMs."),
});
export type Inventory = z.infer<typeof Inventory>;

/** The empty inventory, in force before the first change. */
export function emptyInventory(): Inventory {
  return { zones: [], racks: [], pools: [], vms: [] };
}

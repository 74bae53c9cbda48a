/**
 * The inventory: the machines that the operators own and the pools they belong to.
 *
 * @module
 */
import { z } from "zod";
import { Address, Name } from "./names.ts";

/** An availability zone. */
export const Zone = z.strictObject({ name: Name, region: Name });
export type Zone = z.infer<typeof Zone>;

export const Rack = z.strictObject({ name: Name, zone: Name });
export type Rack = z.infer<typeof Rack>;

export const Pool = z.strictObject({ name: Name });
export type Pool = z.infer<typeof Pool>;

/** A virtual machine. Its zone is the zone of its rack. */
export const Vm = z.strictObject({
  name: Name,
  rack: Name,
  pool: Name,
  cores: z.number().positive(),
  memoryGb: z.number().positive(),
  accelerators: z.number().int().nonnegative().default(0),
  /** Address of the platform agent that drains and reboots this VM. */
  agent: Address.optional(),
});
export type Vm = z.infer<typeof Vm>;

export const Inventory = z.strictObject({
  zones: z.array(Zone),
  racks: z.array(Rack),
  pools: z.array(Pool),
  vms: z.array(Vm),
});
export type Inventory = z.infer<typeof Inventory>;

/** An inventory without machines, in force before the first change. */
export function emptyInventory(): Inventory {
  return { zones: [], racks: [], pools: [], vms: [] };
}

/**
 * Sizes of jobs and VMs in whole units, so that sums stay exact on every replica.
 *
 * @module
 */
import { z } from "zod";

const MILLICORES_PER_CORE = 1_000;
const MB_PER_GB = 1_024;

const Unit = z.number().int().nonnegative();

/** Processors, memory and accelerators that a run holds or a VM has. */
export const Size = z.object({
  millicores: Unit,
  memoryMb: Unit,
  accelerators: Unit,
});
export type Size = z.infer<typeof Size>;

/** Processors, memory and accelerators in the units that operators write. */
export interface Resources {
  cores: number;
  memoryGb: number;
  accelerators: number;
}

/** A size with each component zero. */
export function zeroSize(): Size {
  return { millicores: 0, memoryMb: 0, accelerators: 0 };
}

/** Converts operators' units to whole units, rounding up. */
export function toSize(resources: Resources): Size {
  return {
    millicores: Math.ceil(resources.cores * MILLICORES_PER_CORE),
    memoryMb: Math.ceil(resources.memoryGb * MB_PER_GB),
    accelerators: resources.accelerators,
  };
}

/** Adds `size` to `total` in place. */
export function addSize(total: Size, size: Size): void {
  total.millicores += size.millicores;
  total.memoryMb += size.memoryMb;
  total.accelerators += size.accelerators;
}

/** Subtracts `size` from `total` in place. */
export function subtractSize(total: Size, size: Size): void {
  total.millicores -= size.millicores;
  total.memoryMb -= size.memoryMb;
  total.accelerators -= size.accelerators;
}

/** Whether `need` fits into `available` in every resource. */
export function fits(need: Size, available: Size): boolean {
  return need.millicores <= available.millicores &&
    need.memoryMb <= available.memoryMb &&
    need.accelerators <= available.accelerators;
}

/** `limit` minus `used`; may be negative. */
export function remaining(limit: Size, used: Size): Size {
  return {
    millicores: limit.millicores - used.millicores,
    memoryMb: limit.memoryMb - used.memoryMb,
    accelerators: limit.accelerators - used.accelerators,
  };
}

/** Formats a size in operators' units. */
export function formatSize(size: Size): string {
  const cores = (size.millicores / MILLICORES_PER_CORE).toFixed(1);
  const memory = (size.memoryMb / MB_PER_GB).toFixed(1);
  return `${cores} cores, ${memory} GB, ${size.accelerators} accelerators`;
}

/**
 * Arithmetic with amounts of all resources.
 *
 * @module
 */
import type { Resources } from "./batch_job.ts";

export const RESOURCES = ["cpuMilli", "memoryMb", "gpus"] as const;

export function noResources(): Resources {
  return { cpuMilli: 0, memoryMb: 0, gpus: 0 };
}

/** Adds a multiple to a sum in place; called for each waiting step, so it allocates nothing. */
export function addTo(sum: Resources, resources: Resources, times = 1): void {
  sum.cpuMilli += resources.cpuMilli * times;
  sum.memoryMb += resources.memoryMb * times;
  sum.gpus += resources.gpus * times;
}

export function scale(resources: Resources, factor: number): Resources {
  return {
    cpuMilli: resources.cpuMilli * factor,
    memoryMb: resources.memoryMb * factor,
    gpus: resources.gpus * factor,
  };
}

export function within(
  least: Resources,
  value: Resources,
  most: Resources,
): Resources {
  const bounded = { ...value };
  for (const resource of RESOURCES) {
    bounded[resource] = Math.min(
      most[resource],
      Math.max(least[resource], value[resource]),
    );
  }
  return bounded;
}

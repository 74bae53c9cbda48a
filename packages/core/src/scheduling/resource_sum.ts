/**
 * Arithmetic on resources.
 *
 * @module
 */
import type { Resources } from "./batch_job.ts";

export const RESOURCES = ["cpuMilli", "memoryMb", "gpus"] as const;

export const NO_RESOURCES: Readonly<Resources> = {
  cpuMilli: 0,
  memoryMb: 0,
  gpus: 0,
};

/** Resources plus a number of times others. */
export function plus(
  { cpuMilli, memoryMb, gpus }: Readonly<Resources>,
  each: Readonly<Resources>,
  count: number,
): Resources {
  return {
    cpuMilli: cpuMilli + count * each.cpuMilli,
    memoryMb: memoryMb + count * each.memoryMb,
    gpus: gpus + count * each.gpus,
  };
}

/** Adds resources a number of times. */
export function addInPlace(
  total: Resources,
  { cpuMilli, memoryMb, gpus }: Readonly<Resources>,
  count = 1,
): void {
  total.cpuMilli += count * cpuMilli;
  total.memoryMb += count * memoryMb;
  total.gpus += count * gpus;
}

export function isNothing({ cpuMilli, memoryMb, gpus }: Resources): boolean {
  return cpuMilli === 0 && memoryMb === 0 && gpus === 0;
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

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

/** Whether free resources cover a demand. */
export function covers(
  free: Readonly<Resources>,
  demand: Readonly<Resources>,
): boolean {
  return free.cpuMilli >= demand.cpuMilli &&
    free.memoryMb >= demand.memoryMb && free.gpus >= demand.gpus;
}

/** Number of tasks with a demand that fit into free resources. */
export function countFitting(free: Resources, each: Resources): number {
  const count = (have: number, need: number): number =>
    need === 0 ? Infinity : Math.max(0, Math.floor(have / need));
  return Math.min(
    count(free.cpuMilli, each.cpuMilli),
    count(free.memoryMb, each.memoryMb),
    count(free.gpus, each.gpus),
  );
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

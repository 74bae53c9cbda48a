/**
 * Finds jobs that can never run, with the reason.
 *
 * @module
 */
import type { Vm } from "../inventory.ts";
import type { State } from "../state.ts";
import type { Job } from "./job.ts";
import { fits, formatSize, type Size, toSize } from "./size.ts";
import type { SizeEstimator } from "./size_estimator.ts";

/** Share of a VM's memory that runs may reserve in total. */
const MEMORY_SHARE = 0.95;

/** Largest sizes that the VMs of a pool can hold. */
export interface PoolLimit {
  /** Sizes of the VMs that would not fit into another VM of the pool. */
  sizes: Size[];
  /** Largest amount of each resource on any VM; not necessarily on one and the same. */
  largest: Size;
}

/** Limits by pool. */
export type PoolLimits = Map<string, PoolLimit>;

/** Limits, quotas and estimates that a job is checked against. */
export interface FeasibilityContext {
  limits: PoolLimits;
  quotas: Map<string, Size>;
  estimator: SizeEstimator;
}

/** Share of each VM of a pool that jobs may use. */
export function jobShare(state: State, pool: string): number {
  const shared = state.rules.services.some((service) => service.pool === pool);
  return shared ? 1 - state.rules.jobs.serviceShare : 1;
}

/** Scales processors and memory by a share; accelerators are not shared. */
export function usableSize(size: Size, share: number): Size {
  return {
    millicores: Math.floor(size.millicores * share),
    memoryMb: Math.floor(size.memoryMb * share),
    accelerators: size.accelerators,
  };
}

/** Total that jobs may reserve on a VM. */
export function jobLimit(vm: Vm, share: number): Size {
  const size = usableSize(toSize(vm), share);
  size.memoryMb = Math.floor(size.memoryMb * MEMORY_SHARE);
  return size;
}

const limitsCache = new WeakMap<
  State["inventory"],
  { revision: number; limits: PoolLimits }
>();

/** Limits of every pool over all VMs, whatever their phase; cached for each revision of the state. */
export function poolLimits(state: State): PoolLimits {
  const known = limitsCache.get(state.inventory);
  if (known?.revision === state.revision) {
    return known.limits;
  }
  const limits = computeLimits(state);
  limitsCache.set(state.inventory, { revision: state.revision, limits });
  return limits;
}

function computeLimits(state: State): PoolLimits {
  const sizes = new Map<string, Size[]>();
  const shares = new Map<string, number>();
  for (const pool of state.inventory.pools) {
    sizes.set(pool.name, []);
    shares.set(pool.name, jobShare(state, pool.name));
  }
  for (const vm of state.inventory.vms) {
    const pool = state.vms[vm.name]?.pool ?? vm.pool;
    const size = jobLimit(vm, shares.get(pool) ?? 1);
    const known = sizes.get(pool) ?? [];
    if (!known.some((other) => fits(size, other))) {
      const smaller = known.filter((other) => !fits(other, size));
      sizes.set(pool, [...smaller, size]);
    }
  }
  const limits: PoolLimits = new Map();
  for (const [pool, list] of sizes) {
    limits.set(pool, { sizes: list, largest: componentMax(list) });
  }
  return limits;
}

/** Component-wise maximum of the sizes; zero when there are none. */
export function componentMax(sizes: readonly Size[]): Size {
  return {
    millicores: Math.max(0, ...sizes.map((size) => size.millicores)),
    memoryMb: Math.max(0, ...sizes.map((size) => size.memoryMb)),
    accelerators: Math.max(0, ...sizes.map((size) => size.accelerators)),
  };
}

/** Why the job can never run, or undefined when it can. */
export function infeasibleReason(
  job: Job,
  { limits, quotas, estimator }: FeasibilityContext,
): string | undefined {
  const limit = limits.get(job.pool);
  if (limit === undefined) {
    return `Pool "${job.pool}" is not in the inventory`;
  }
  const quota = quotas.get(job.team);
  if (quota === undefined) {
    return `Team "${job.team}" is not in the rules`;
  }
  const need = estimator.reserve(job, componentMin(limit.largest, quota));
  if (need.accelerators > 0 && limit.largest.accelerators === 0) {
    return `Pool "${job.pool}" has no accelerators`;
  }
  if (!limit.sizes.some((size) => fits(need, size))) {
    return `No VM of pool "${job.pool}" can hold ${
      formatSize(need)
    }; the largest has ${formatSize(limit.largest)}`;
  }
  if (!fits(need, quota)) {
    return `The quota of team "${job.team}" is ${
      formatSize(quota)
    }, and the job needs ${formatSize(need)}`;
  }
  return undefined;
}

/** Component-wise minimum of two sizes. */
export function componentMin(a: Size, b: Size): Size {
  return {
    millicores: Math.min(a.millicores, b.millicores),
    memoryMb: Math.min(a.memoryMb, b.memoryMb),
    accelerators: Math.min(a.accelerators, b.accelerators),
  };
}

/** Quotas by team. */
export function quotasOf(state: State): Map<string, Size> {
  return new Map(state.rules.teams.map((team) => [team.name, toSize(team)]));
}

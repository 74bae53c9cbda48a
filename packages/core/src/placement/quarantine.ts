/**
 * Decides which VMs are quarantined and which are probed. The remaining VMs of a pool always have the capacity for what
 * is placed in it.
 *
 * @module
 */
import type { State } from "../state.ts";
import { failsAllRuns, isProbeDue } from "./health.ts";
import type { JobChange } from "./job.ts";
import type { VmCapacities, VmCapacity } from "./vm_capacity.ts";

const MAX_QUARANTINED_SHARE = 0.1;
/** Capacity of the remaining VMs as a multiple of what is placed in the pool, at least. */
const CAPACITY_MARGIN = 1.1;

/** Inputs of the decision and the list to which changes are added. */
export interface QuarantineContext {
  vms: VmCapacities;
  at: number;
  changes: JobChange[];
}

/** Adds a change for every VM to quarantine or probe. */
export function decideQuarantine(
  state: State,
  { vms, at, changes }: QuarantineContext,
): void {
  for (const [name, health] of Object.entries(state.jobs.health)) {
    const vm = vms.byName.get(name);
    if (vm === undefined) {
      continue;
    }
    if (isProbeDue(health, at)) {
      changes.push({ type: "health", vm: name, phase: "probing" });
    }
    const bad = health.phase === "healthy" &&
      failsAllRuns(state.jobs, health);
    if (bad && mayQuarantine(vm, vms.byPool.get(vm.pool) ?? [], state)) {
      changes.push({ type: "health", vm: name, phase: "quarantined" });
      vm.schedulable = false;
    }
  }
}

function mayQuarantine(
  vm: VmCapacity,
  pool: VmCapacity[],
  state: State,
): boolean {
  const unavailable =
    pool.filter((other) => isUnavailable(state, other)).length;
  const maxQuarantined = Math.max(
    1,
    Math.floor(pool.length * MAX_QUARANTINED_SHARE),
  );
  if (unavailable >= maxQuarantined) {
    return false;
  }
  let usedMb = 0;
  let capacityMb = 0;
  for (const other of pool) {
    usedMb += other.limit.memoryMb - other.free.memoryMb;
    capacityMb += other.schedulable && other !== vm ? other.limit.memoryMb : 0;
  }
  return capacityMb >= usedMb * CAPACITY_MARGIN;
}

function isUnavailable(state: State, vm: VmCapacity): boolean {
  const phase = state.jobs.health[vm.name]?.phase ?? "healthy";
  return phase !== "healthy" ||
    (!vm.schedulable && vm.name in state.jobs.health &&
      state.vms[vm.name]?.phase === "serving");
}

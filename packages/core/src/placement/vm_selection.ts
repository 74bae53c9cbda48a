/**
 * Selects the VM for a job by best fit over memory and processors, so that large free blocks are not fragmented.
 *
 * @module
 */
import { PRIORITIES, type Priority } from "../names.ts";
import type { Job } from "./job.ts";
import type { Size } from "./size.ts";
import { canHold, type PlacedRun, type VmCapacity } from "./vm_capacity.ts";

const MOVE_COST_MS = 60_000;
const PRIORITY_COST_MS = 3_600_000;
/** Share of a run's processors that throttling can reclaim. */
const THROTTLEABLE_SHARE = 0.9;

/** A VM for a job and the runs to evict from it first. */
export interface Preemption {
  vm: VmCapacity;
  victims: PlacedRun[];
}

/** Rank of a priority; 0 is the highest. */
export function priorityRank(priority: Priority): number {
  return PRIORITIES.indexOf(priority);
}

/** Selects the VM that has the least left over after holding the job, among those that can hold it now. */
export function selectVm(
  vms: readonly VmCapacity[],
  job: Job,
  { need, nearDeadline }: { need: Size; nearDeadline: boolean },
): VmCapacity | undefined {
  let best: VmCapacity | undefined;
  let bestScore = Infinity;
  const options = { priority: job.priority, nearDeadline };
  const allowRetry = hasFailedOnAllVms(vms, job);
  for (const vm of vms) {
    if (!canHold(vm, need, options) || !isEligible(vm, job, allowRetry)) {
      continue;
    }
    const score = leftoverScore(vm, need);
    if (score < bestScore) {
      best = vm;
      bestScore = score;
    }
  }
  return best;
}

/** Whether the job has failed on every schedulable VM, so that it can only be retried where it failed. */
function hasFailedOnAllVms(vms: readonly VmCapacity[], job: Job): boolean {
  return job.failedOn.length > 0 &&
    vms.every((vm) => !vm.schedulable || job.failedOn.includes(vm.name));
}

function leftoverScore(vm: VmCapacity, need: Size): number {
  const memory = (vm.free.memoryMb - need.memoryMb) / vm.limit.memoryMb;
  const cores = (vm.free.millicores - need.millicores) /
    vm.limit.millicores;
  // VMs with accelerators are kept for jobs that need them.
  const acceleratorPenalty = need.accelerators === 0 && vm.free.accelerators > 0
    ? 2
    : 0;
  return memory + cores + acceleratorPenalty;
}

/** Whether the VM accepts runs of the job at all; with `allowRetry`, even if the job has failed there. */
export function isEligible(
  vm: VmCapacity,
  job: Job,
  allowRetry = false,
): boolean {
  if (!vm.schedulable || (!allowRetry && job.failedOn.includes(vm.name))) {
    return false;
  }
  return !vm.probing ||
    (vm.runs.length === 0 && job.priority !== "urgent");
}

/**
 * Selects the VM where preemption for the job costs least. Processors are reclaimed by throttling, memory and
 * accelerators by evicting runs of lower priority.
 */
export function selectPreemption(
  vms: readonly VmCapacity[],
  job: Job,
  { need, at }: { need: Size; at: number },
): Preemption | undefined {
  let best: Preemption | undefined;
  let bestCost = Infinity;
  for (const vm of vms) {
    if (vm.probing || !isEligible(vm, job)) {
      continue;
    }
    const victims = findVictims(vm, job, { need, at });
    const cost = victims === undefined ? Infinity : totalCost(victims, at);
    if (victims !== undefined && cost < bestCost) {
      best = { vm, victims };
      bestCost = cost;
    }
  }
  return best;
}

function hasLowerPriority(placed: PlacedRun, job: Job): boolean {
  return priorityRank(placed.job.priority) > priorityRank(job.priority);
}

/** Amount of each resource that is still missing; zero or less when covered. */
interface Deficit {
  millicores: number;
  memoryMb: number;
  accelerators: number;
}

function throttleableMillicores(size: Size): number {
  return Math.floor(size.millicores * THROTTLEABLE_SHARE);
}

function isCovered(deficit: Deficit): boolean {
  return deficit.millicores <= 0 && deficit.memoryMb <= 0 &&
    deficit.accelerators <= 0;
}

function adjustDeficit(
  deficit: Deficit,
  { size }: PlacedRun,
  sign: 1 | -1,
): void {
  // The rest of the victim's processors is already counted as reclaimed by throttling.
  deficit.millicores -= sign * (size.millicores - throttleableMillicores(size));
  deficit.memoryMb -= sign * size.memoryMb;
  deficit.accelerators -= sign * size.accelerators;
}

function reducesDeficit(deficit: Deficit, { size }: PlacedRun): boolean {
  return (deficit.millicores > 0 && size.millicores > 0) ||
    (deficit.memoryMb > 0 && size.memoryMb > 0) ||
    (deficit.accelerators > 0 && size.accelerators > 0);
}

function findVictims(
  vm: VmCapacity,
  job: Job,
  { need, at }: { need: Size; at: number },
): PlacedRun[] | undefined {
  const lowerPriority = vm.runs.filter((placed) =>
    hasLowerPriority(placed, job)
  );
  const reclaimable = lowerPriority.reduce(
    (sum, { size }) => sum + throttleableMillicores(size),
    0,
  );
  const deficit = {
    millicores: need.millicores - vm.free.millicores - reclaimable,
    memoryMb: need.memoryMb - vm.free.memoryMb,
    accelerators: need.accelerators - vm.free.accelerators,
  };
  const candidates = lowerPriority
    .filter(({ run }) => run.want === "run")
    .sort((a, b) => preemptionCost(a, at) - preemptionCost(b, at));
  const victims: PlacedRun[] = [];
  for (const candidate of candidates) {
    if (isCovered(deficit)) {
      break;
    }
    if (reducesDeficit(deficit, candidate)) {
      victims.push(candidate);
      adjustDeficit(deficit, candidate, 1);
    }
  }
  return isCovered(deficit) ? dropUnneeded(victims, deficit) : undefined;
}

/** Drops victims that turned out to be unnecessary, the most expensive first. */
function dropUnneeded(victims: PlacedRun[], deficit: Deficit): PlacedRun[] {
  return victims.toReversed().filter((victim) => {
    adjustDeficit(deficit, victim, -1);
    if (isCovered(deficit)) {
      return false;
    }
    adjustDeficit(deficit, victim, 1);
    return true;
  });
}

function totalCost(victims: readonly PlacedRun[], at: number): number {
  return victims.reduce((sum, victim) => sum + preemptionCost(victim, at), 0);
}

/** Cost of preempting a run: by its priority, the time since its placement and earlier moves of its job. */
function preemptionCost({ job, run }: PlacedRun, at: number): number {
  const priorityWeight = PRIORITIES.length - priorityRank(job.priority);
  return priorityWeight * PRIORITY_COST_MS +
    Math.min(at - run.at, PRIORITY_COST_MS) +
    job.moves * MOVE_COST_MS;
}

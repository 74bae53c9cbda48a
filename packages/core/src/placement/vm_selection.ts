/**
 * Chooses the VM for a job: best fit on the scarcest resource, so that large holes stay whole.
 *
 * @module
 */
import { PRIORITIES, type Priority } from "../names.ts";
import type { Job } from "./job.ts";
import { canHold, type PlacedRun, type VmCapacity } from "./vm_capacity.ts";
import type { Size } from "./size.ts";

const MOVE_COST_MS = 60_000;
const PRIORITY_COST_MS = 3_600_000;
/** Share of a throttled run's processors that can be taken from it. */
const THROTTLEABLE_SHARE = 0.9;

/** A VM for a job and the runs that must leave it first. */
export interface Preemption {
  vm: VmCapacity;
  victims: PlacedRun[];
}

/** The rank of a class; 0 is the most important. */
export function priorityRank(priority: Priority): number {
  return PRIORITIES.indexOf(priority);
}

/** The fullest VM that can hold the job now. */
export function selectVm(
  vms: readonly VmCapacity[],
  job: Job,
  { need, nearDeadline }: { need: Size; nearDeadline: boolean },
): VmCapacity | undefined {
  let best: VmCapacity | undefined;
  let bestScore = Infinity;
  const demand = { priority: job.priority, nearDeadline };
  const allowRetry = hasFailedOnAllVms(vms, job);
  for (const vm of vms) {
    if (!canHold(vm, need, demand) || !isEligible(vm, job, allowRetry)) {
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

/** Whether the job has failed on every VM that is open, so that it may only be tried again where it failed. */
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

/** Whether the VM may take a run of the job at all; with `again`, also where it has failed. */
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
 * Chooses the VM where making room for the job costs least. Processors are taken by throttling; memory and
 * accelerators by ending runs of classes below the job's.
 */
export function choosePreemption(
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

/** What is still missing of each resource; none when all are zero or less. */
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
  // The rest of the victim's processors is already counted as taken by throttling.
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

/** Drops victims that are not needed after all, the most expensive first. */
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

/** What ending a run costs: its class, the work since its start, and earlier moves. */
function preemptionCost({ job, run }: PlacedRun, at: number): number {
  const priorityWeight = PRIORITIES.length - priorityRank(job.priority);
  return priorityWeight * PRIORITY_COST_MS +
    Math.min(at - run.at, PRIORITY_COST_MS) +
    job.moves * MOVE_COST_MS;
}

/**
 * Decides which runs are evicted: runs on VMs that are draining or no longer serving, and runs on VMs under memory
 * pressure.
 *
 * @module
 */
import type { VmRecord } from "../fleet.ts";
import type { State } from "../state.ts";
import type { JobChange, StopCause } from "./job.ts";
import type { SizeEstimator } from "./size_estimator.ts";
import type { PlacedRun, VmCapacities, VmCapacity } from "./vm_capacity.ts";
import { priorityRank } from "./vm_selection.ts";

/** Share of a VM's memory limit in use above which runs are evicted. */
const PRESSURE_SHARE = 0.92;
/** Share of the drain timeout within which runs may finish; the rest is for checkpoints. */
const DRAIN_FINISH_SHARE = 0.8;

/** Inputs of the decision and the list to which changes are added. */
export interface EvictionContext {
  vms: VmCapacities;
  estimator: SizeEstimator;
  at: number;
  changes: JobChange[];
}

/** Adds a change for every run to evict. */
export function decideEvictions(state: State, context: EvictionContext): void {
  for (const vm of context.vms.byName.values()) {
    if (vm.runs.length === 0) {
      continue;
    }
    const record = state.vms[vm.name];
    const serves = record === undefined || record.phase === "serving";
    if (serves && vm.changed) {
      relievePressure(vm, context);
    } else if (!serves) {
      evictFromVm(state, vm, { record, context });
    }
  }
}

function evictFromVm(
  state: State,
  vm: VmCapacity,
  { record, context }: { record: VmRecord; context: EvictionContext },
): void {
  const finishBy = record.since + finishWindowMs(state);
  for (const placed of vm.runs) {
    const runtimeMs = context.estimator.medianRuntimeMs(placed.job) ?? 0;
    const endsAt = placed.run.at + runtimeMs;
    const mayFinish = record.phase === "draining" && context.at < finishBy &&
      Math.max(endsAt, context.at) <= finishBy;
    if (!mayFinish) {
      evict(vm, placed, { cause: "drain", context });
    }
  }
}

/** How long runs on a draining VM may continue; shorter where the weights favour a short roll-out over few moves. */
function finishWindowMs({ rules }: State): number {
  const { weights, drainTimeoutMs } = rules.maintenance;
  const balance = weights.rollout > 0 ? weights.moves / weights.rollout : 1;
  return drainTimeoutMs * DRAIN_FINISH_SHARE * Math.min(1, balance);
}

function relievePressure(vm: VmCapacity, context: EvictionContext): void {
  const limitMb = vm.limit.memoryMb;
  let usedMb = 0;
  for (const { report, run } of vm.runs) {
    const counts = report?.phase === "running" && run.want === "run";
    usedMb += counts ? report.memoryMb : 0;
  }
  if (usedMb <= limitMb * PRESSURE_SHARE) {
    return;
  }
  const candidates = vm.runs
    .filter(({ run, report }) => run.want === "run" && report !== undefined)
    .sort(byEvictionOrder);
  for (const candidate of candidates.slice(0, -1)) {
    if (usedMb <= limitMb * PRESSURE_SHARE) {
      return;
    }
    evict(vm, candidate, { cause: "pressure", context });
    usedMb -= candidate.report?.memoryMb ?? 0;
  }
}

/** The lowest priority first, then the run that exceeds its reservation most. */
function byEvictionOrder(a: PlacedRun, b: PlacedRun): number {
  const byPriority = priorityRank(b.job.priority) -
    priorityRank(a.job.priority);
  return byPriority !== 0 ? byPriority : excessMb(b) - excessMb(a);
}

function excessMb({ report, run }: PlacedRun): number {
  return (report?.memoryMb ?? 0) - run.size.memoryMb;
}

function evict(
  vm: VmCapacity,
  placed: PlacedRun,
  { cause, context }: { cause: StopCause; context: EvictionContext },
): void {
  const { run, job } = placed;
  if (run.want === "run") {
    const want = { want: "checkpoint", cause } as const;
    context.changes.push({ type: "want", job: job.id, run: run.id, ...want });
    placed.run = { ...run, ...want };
    vm.uncommitted = true;
  }
}

/**
 * Capacity of each VM for jobs: its limits, the runs on it and what they are expected to use.
 *
 * @module
 */
import type { Priority } from "../names.ts";
import type { State } from "../state.ts";
import { jobLimit, jobShare, usableSize } from "./feasibility.ts";
import type { Job, Run } from "./job.ts";
import type { JobIndex } from "./job_index.ts";
import { emptyLease, STALE_REPORT_MS, type VmLease } from "./lease.ts";
import type { RunReport } from "./operation.ts";
import { addSize, fits, type Size, subtractSize, zeroSize } from "./size.ts";

/** A run counts with its peak memory times this margin, to allow for growth. */
const GROWTH_MARGIN = 1.25;
/** A run past its warm-up counts with at least this share of the memory that it reserved. */
const RECLAIM_SHARE = 0.6;
/** Warm-up of a run; until it ends, the run counts with at least the memory that it reserved. */
export const WARM_UP_MS = 60_000;

/** A run on a VM with the size that it is expected to use. */
export interface PlacedRun {
  job: Job;
  run: Run;
  size: Size;
  report?: RunReport;
}

/** Limits of a VM, which change only with the configuration and with moves of the VM between pools. */
export interface VmLimits {
  readonly name: string;
  readonly pool: string;
  /** Total that jobs may reserve. */
  readonly limit: Size;
  /** Total that overnight jobs may reserve. */
  readonly overnightLimit: Size;
}

/** Limits, runs and free capacity of one VM during a pass. */
export interface VmCapacity extends VmLimits {
  lease: VmLease;
  /** Whether new runs may be placed here. */
  schedulable: boolean;
  /** Whether only one run may be placed, to probe a quarantined VM. */
  probing: boolean;
  free: Size;
  /** What the runs of overnight jobs are expected to use. */
  overnightUsed: Size;
  runs: PlacedRun[];
  /** Whether any run is throttled. */
  throttled: boolean;
  /** Whether runs or report changed since the last pass. */
  changed: boolean;
  /** Whether a decision that is not applied yet is included. */
  uncommitted: boolean;
  /** Whether a run on the VM starts, is being evicted or waits for its first renewal. */
  busy: boolean;
}

/** Inputs of an update. */
export interface CapacityContext {
  index: JobIndex;
  leases: Map<string, VmLease>;
  now: number;
  /** VMs whose runs or reports changed since the last pass. */
  changedVms: ReadonlySet<string>;
}

/** Limits of each VM; valid until the state's revision changes. */
export function vmLimits(state: State): VmLimits[] {
  const shares = new Map<string, number>();
  const overnightShare = 1 - state.rules.jobs.liveShare;
  const listed = state.inventory.vms.map((vm) => {
    const pool = state.vms[vm.name]?.pool ?? vm.pool;
    const share = shares.get(pool) ?? jobShare(state, pool);
    shares.set(pool, share);
    const limit = jobLimit(vm, share);
    const overnightLimit = usableSize(limit, overnightShare);
    return { name: vm.name, pool, limit, overnightLimit };
  });
  return [...listed, ...unlistedVmLimits(state)];
}

/** VMs that left the inventory get no new runs, but their runs still have to be evicted. */
function unlistedVmLimits(state: State): VmLimits[] {
  const listed = new Set(state.inventory.vms.map((vm) => vm.name));
  return Object.values(state.vms)
    .filter((record) => !listed.has(record.name))
    .map(({ name, pool }) => ({
      name,
      pool,
      limit: zeroSize(),
      overnightLimit: zeroSize(),
    }));
}

/** Capacities of all VMs; only those that changed are recomputed. */
export class VmCapacities {
  readonly byName = new Map<string, VmCapacity>();
  readonly byPool = new Map<string, VmCapacity[]>();

  constructor(allLimits: readonly VmLimits[], leases: Map<string, VmLease>) {
    for (const limits of allLimits) {
      const lease = leases.get(limits.name) ?? emptyLease();
      leases.set(limits.name, lease);
      const vm = emptyCapacity(limits, lease);
      this.byName.set(limits.name, vm);
      const others = this.byPool.get(limits.pool) ?? [];
      this.byPool.set(limits.pool, others);
      others.push(vm);
    }
  }

  /** Updates all capacities. */
  update(state: State, context: CapacityContext): void {
    for (const vm of this.byName.values()) {
      vm.changed = vm.uncommitted || context.changedVms.has(vm.name);
      if (vm.changed) {
        recomputeUsage(vm, context.index);
      }
      const { lease } = vm;
      const health = state.jobs.health[vm.name]?.phase ?? "healthy";
      const reported = !lease.suspect &&
        context.now - lease.reportedAt <= STALE_REPORT_MS;
      vm.probing = health === "probing";
      vm.schedulable = reported && health !== "quarantined" &&
        state.vms[vm.name]?.phase === "serving";
    }
  }
}

function emptyCapacity(limits: VmLimits, lease: VmLease): VmCapacity {
  return {
    name: limits.name,
    pool: limits.pool,
    limit: limits.limit,
    overnightLimit: limits.overnightLimit,
    lease,
    schedulable: false,
    probing: false,
    free: { ...limits.limit },
    overnightUsed: zeroSize(),
    runs: [],
    throttled: false,
    changed: true,
    uncommitted: true,
    busy: true,
  };
}

function recomputeUsage(vm: VmCapacity, index: JobIndex): void {
  vm.free = { ...vm.limit };
  vm.overnightUsed = zeroSize();
  vm.runs = [];
  vm.throttled = false;
  const jobs = index.byVm.get(vm.name)?.values() ?? [];
  for (const job of jobs) {
    if (job.run !== undefined) {
      const report = vm.lease.reports.get(job.run.id);
      const size = expectedSize(job.run, report);
      addRun(vm, { job, run: job.run, size, report });
    }
  }
  vm.uncommitted = false;
}

/** Adds a run; it is removed again in the next pass unless it is applied. */
export function addRun(vm: VmCapacity, placed: PlacedRun): void {
  vm.uncommitted = true;
  vm.runs.push(placed);
  vm.throttled ||= (placed.report?.throttle ?? 1) < 1;
  subtractSize(vm.free, placed.size);
  if (placed.job.priority === "overnight") {
    addSize(vm.overnightUsed, placed.size);
  }
}

function expectedSize(run: Run, report: RunReport | undefined): Size {
  if (report === undefined || report.phase !== "running") {
    return run.size;
  }
  const used = Math.ceil(report.peakMb * GROWTH_MARGIN);
  const least = report.runtimeMs < WARM_UP_MS
    ? run.size.memoryMb
    : Math.ceil(run.size.memoryMb * RECLAIM_SHARE);
  return { ...run.size, memoryMb: Math.max(used, least) };
}

/**
 * Whether the VM can hold a job now. Overnight jobs leave a share free unless they are near their deadline or could not
 * run otherwise.
 */
export function canHold(
  vm: VmCapacity,
  need: Size,
  { priority, nearDeadline }: { priority: Priority; nearDeadline: boolean },
): boolean {
  if (!fits(need, vm.free)) {
    return false;
  }
  const { overnightUsed, overnightLimit } = vm;
  return priority !== "overnight" || nearDeadline ||
    !fits(need, overnightLimit) ||
    (need.millicores + overnightUsed.millicores <= overnightLimit.millicores &&
      need.memoryMb + overnightUsed.memoryMb <= overnightLimit.memoryMb);
}

/**
 * What each VM offers to jobs at this moment: its size, the runs on it and what they are expected to use.
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

/** A run that uses more than it reserved counts with this margin. */
const GROWTH_MARGIN = 1.25;
/** A run counts with at least this share of what it reserved. */
const RECLAIM_SHARE = 0.6;
/** A run younger than this counts with all that it reserved. */
export const WARM_UP_MS = 60_000;

/** A run on a VM with the size that it is expected to use. */
export interface PlacedRun {
  job: Job;
  run: Run;
  size: Size;
  report?: RunReport;
}

/** The part of a room that only configuration and moves change. */
export interface VmLimits {
  readonly name: string;
  readonly pool: string;
  /** What jobs may take in all. */
  readonly limit: Size;
  /** What overnight jobs may take in all. */
  readonly overnightLimit: Size;
}

/** One VM as the pass sees it. */
export interface VmCapacity extends VmLimits {
  lease: VmLease;
  /** Whether new runs may be placed here. */
  schedulable: boolean;
  /** Whether only one run may be placed, to try whether the VM works again. */
  probing: boolean;
  free: Size;
  /** What overnight jobs take. */
  overnightUsed: Size;
  runs: PlacedRun[];
  /** Whether a run may use only a part of its processors. */
  throttled: boolean;
  /** Whether runs or report changed since the last pass. */
  changed: boolean;
  /** Whether a decision that is not applied yet changed the room. */
  uncommitted: boolean;
  /** Whether a run on the VM starts, leaves or waits for its first renewal. */
  busy: boolean;
}

/** What the rooms are worked out from. */
export interface CapacitySource {
  index: JobIndex;
  leases: Map<string, VmLease>;
  now: number;
  /** VMs whose runs or reports changed. */
  changedVms: ReadonlySet<string>;
}

/** Works out what jobs may take of each VM; valid until the state's revision changes. */
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

/** VMs that left the inventory hold nothing new, but their runs still have to leave. */
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

/** The rooms of all VMs of the inventory; only those that changed are worked out again. */
export class VmCapacities {
  readonly byName = new Map<string, VmCapacity>();
  readonly byPool = new Map<string, VmCapacity[]>();

  constructor(shapes: readonly VmLimits[], leases: Map<string, VmLease>) {
    for (const shape of shapes) {
      const lease = leases.get(shape.name) ?? emptyLease();
      leases.set(shape.name, lease);
      const vm = emptyCapacity(shape, lease);
      this.byName.set(shape.name, vm);
      const others = this.byPool.get(shape.pool) ?? [];
      this.byPool.set(shape.pool, others);
      others.push(vm);
    }
  }

  /** Brings the rooms up to date. */
  update(state: State, source: CapacitySource): void {
    for (const vm of this.byName.values()) {
      vm.changed = vm.uncommitted || source.changedVms.has(vm.name);
      if (vm.changed) {
        recomputeUsage(vm, source.index);
      }
      const { lease } = vm;
      const health = state.jobs.health[vm.name]?.phase ?? "healthy";
      const reported = !lease.suspect &&
        source.now - lease.reportedAt <= STALE_REPORT_MS;
      vm.probing = health === "probing";
      vm.schedulable = reported && health !== "quarantined" &&
        state.vms[vm.name]?.phase === "serving";
    }
  }
}

function emptyCapacity(shape: VmLimits, lease: VmLease): VmCapacity {
  return {
    name: shape.name,
    pool: shape.pool,
    limit: shape.limit,
    overnightLimit: shape.overnightLimit,
    lease,
    schedulable: false,
    probing: false,
    free: { ...shape.limit },
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

/** Adds a run to the room, for this pass unless it is applied. */
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

/** Whether the room can hold a job now; overnight work leaves a share unless it is pressing or cannot run otherwise. */
export function canHold(
  vm: VmCapacity,
  need: Size,
  { priority, nearDeadline }: { priority: Priority; nearDeadline: boolean },
): boolean {
  if (!fits(need, vm.free)) {
    return false;
  }
  const { overnightUsed: overnight, overnightLimit } = vm;
  return priority !== "overnight" || nearDeadline ||
    !fits(need, overnightLimit) ||
    (need.millicores + overnight.millicores <= overnightLimit.millicores &&
      need.memoryMb + overnight.memoryMb <= overnightLimit.memoryMb);
}

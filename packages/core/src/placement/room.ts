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
import { emptyLease, STALE_MS, type VmLease } from "./lease.ts";
import type { RunReport } from "./operation.ts";
import { addSize, fits, type Size, subtractSize, zeroSize } from "./size.ts";

/** A run that uses more than it reserved counts with this margin. */
const GROWTH_MARGIN = 1.25;
/** A run counts with at least this share of what it reserved. */
const RECLAIM_SHARE = 0.6;
/** A run younger than this counts with all that it reserved. */
export const SETTLED_MS = 60_000;

/** A run on a VM with the size that it is expected to use. */
export interface Occupant {
  job: Job;
  run: Run;
  size: Size;
  report?: RunReport;
}

/** The part of a room that only configuration and moves change. */
export interface RoomShape {
  readonly vm: string;
  readonly pool: string;
  /** What jobs may take in all. */
  readonly limit: Size;
  /** What overnight jobs may take in all. */
  readonly overnightLimit: Size;
}

/** One VM as the pass sees it. */
export interface Room extends RoomShape {
  lease: VmLease;
  /** Whether new runs may be placed here. */
  open: boolean;
  /** Whether only one run may be placed, to try whether the VM works again. */
  probe: boolean;
  free: Size;
  /** What overnight jobs take. */
  overnight: Size;
  occupants: Occupant[];
  /** Whether a run may use only a part of its processors. */
  throttled: boolean;
  /** Whether runs or report changed since the last pass. */
  fresh: boolean;
  /** Whether a decision that is not applied yet changed the room. */
  planned: boolean;
  /** Whether a run on the VM starts, leaves or waits for its first renewal. */
  busy: boolean;
}

/** What the rooms are worked out from. */
export interface RoomSource {
  index: JobIndex;
  leases: Map<string, VmLease>;
  now: number;
  /** VMs whose runs or reports changed. */
  touched: ReadonlySet<string>;
}

/** Works out what jobs may take of each VM; valid until the state's revision changes. */
export function roomShapes(state: State): RoomShape[] {
  const shares = new Map<string, number>();
  const overnightShare = 1 - state.rules.jobs.liveShare;
  const listed = state.inventory.vms.map((vm) => {
    const pool = state.vms[vm.name]?.pool ?? vm.pool;
    const share = shares.get(pool) ?? jobShare(state, pool);
    shares.set(pool, share);
    const limit = jobLimit(vm, share);
    const overnightLimit = usableSize(limit, overnightShare);
    return { vm: vm.name, pool, limit, overnightLimit };
  });
  return [...listed, ...unlistedShapes(state)];
}

/** VMs that left the inventory hold nothing new, but their runs still have to leave. */
function unlistedShapes(state: State): RoomShape[] {
  const listed = new Set(state.inventory.vms.map((vm) => vm.name));
  return Object.values(state.vms)
    .filter((record) => !listed.has(record.name))
    .map(({ name, pool }) => ({
      vm: name,
      pool,
      limit: zeroSize(),
      overnightLimit: zeroSize(),
    }));
}

/** The rooms of all VMs of the inventory; only those that changed are worked out again. */
export class Rooms {
  readonly byVm = new Map<string, Room>();
  readonly byPool = new Map<string, Room[]>();

  constructor(shapes: readonly RoomShape[], leases: Map<string, VmLease>) {
    for (const shape of shapes) {
      const lease = leases.get(shape.vm) ?? emptyLease();
      leases.set(shape.vm, lease);
      const room = emptyRoom(shape, lease);
      this.byVm.set(shape.vm, room);
      const others = this.byPool.get(shape.pool) ?? [];
      this.byPool.set(shape.pool, others);
      others.push(room);
    }
  }

  /** Brings the rooms up to date. */
  update(state: State, source: RoomSource): void {
    for (const room of this.byVm.values()) {
      room.fresh = room.planned || source.touched.has(room.vm);
      if (room.fresh) {
        occupy(room, source.index);
      }
      const { lease } = room;
      const health = state.jobs.health[room.vm]?.phase ?? "healthy";
      const reported = !lease.suspect &&
        source.now - lease.reportedAt <= STALE_MS;
      room.probe = health === "probing";
      room.open = reported && health !== "quarantined" &&
        state.vms[room.vm]?.phase === "serving";
    }
  }
}

function emptyRoom(shape: RoomShape, lease: VmLease): Room {
  return {
    vm: shape.vm,
    pool: shape.pool,
    limit: shape.limit,
    overnightLimit: shape.overnightLimit,
    lease,
    open: false,
    probe: false,
    free: { ...shape.limit },
    overnight: zeroSize(),
    occupants: [],
    throttled: false,
    fresh: true,
    planned: true,
    busy: true,
  };
}

function occupy(room: Room, index: JobIndex): void {
  room.free = { ...room.limit };
  room.overnight = zeroSize();
  room.occupants = [];
  room.throttled = false;
  const jobs = index.byVm.get(room.vm)?.values() ?? [];
  for (const job of jobs) {
    if (job.run !== undefined) {
      const report = room.lease.reports.get(job.run.id);
      const size = expectedSize(job.run, report);
      addOccupant(room, { job, run: job.run, size, report });
    }
  }
  room.planned = false;
}

/** Adds a run to the room, for this pass unless it is applied. */
export function addOccupant(room: Room, occupant: Occupant): void {
  room.planned = true;
  room.occupants.push(occupant);
  room.throttled ||= (occupant.report?.throttle ?? 1) < 1;
  subtractSize(room.free, occupant.size);
  if (occupant.job.priority === "overnight") {
    addSize(room.overnight, occupant.size);
  }
}

function expectedSize(run: Run, report: RunReport | undefined): Size {
  if (report === undefined || report.phase !== "running") {
    return run.size;
  }
  const used = Math.ceil(report.peakMb * GROWTH_MARGIN);
  const least = report.runtimeMs < SETTLED_MS
    ? run.size.memoryMb
    : Math.ceil(run.size.memoryMb * RECLAIM_SHARE);
  return { ...run.size, memoryMb: Math.max(used, least) };
}

/** Whether the room can hold a job now; overnight work leaves a share unless it is pressing or cannot run otherwise. */
export function hasRoom(
  room: Room,
  need: Size,
  { priority, pressing }: { priority: Priority; pressing: boolean },
): boolean {
  if (!fits(need, room.free)) {
    return false;
  }
  const { overnight, overnightLimit } = room;
  return priority !== "overnight" || pressing || !fits(need, overnightLimit) ||
    (need.millicores + overnight.millicores <= overnightLimit.millicores &&
      need.memoryMb + overnight.memoryMb <= overnightLimit.memoryMb);
}

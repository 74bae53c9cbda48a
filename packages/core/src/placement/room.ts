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
import { STALE_MS, type VmLease } from "./lease.ts";
import type { RunReport } from "./operation.ts";
import { addSize, fits, type Size, subtractSize, zeroSize } from "./size.ts";

/** A run that uses more than it reserved counts with this margin. */
const GROWTH_MARGIN = 1.25;
/** A run counts with at least this share of what it reserved. */
const RECLAIM_SHARE = 0.6;
/** A run younger than this counts with all that it reserved. */
const SETTLED_MS = 60_000;

/** A run on a VM with the size that it is expected to use. */
export interface Occupant {
  job: Job;
  run: Run;
  size: Size;
  report?: RunReport;
}

/** One VM as the pass sees it. */
export interface Room {
  vm: string;
  pool: string;
  /** Whether new runs may be placed here. */
  open: boolean;
  /** Whether only one run may be placed, to try whether the VM works again. */
  probe: boolean;
  /** What jobs may take in all. */
  limit: Size;
  free: Size;
  /** What overnight jobs take. */
  overnight: Size;
  /** What overnight jobs may take in all. */
  overnightLimit: Size;
  occupants: Occupant[];
  /** Whether a run may use only a part of its processors. */
  throttled: boolean;
}

/** The rooms of one pass. */
export interface Rooms {
  byVm: Map<string, Room>;
  byPool: Map<string, Room[]>;
}

/** The part of a room that only configuration and moves change. */
export interface RoomShape {
  vm: string;
  pool: string;
  limit: Size;
  overnightLimit: Size;
}

/** What the rooms are worked out from. */
export interface RoomSource {
  shapes: readonly RoomShape[];
  index: JobIndex;
  leases: Map<string, VmLease>;
  now: number;
}

/** Works out what jobs may take of each VM; valid until the state's revision changes. */
export function roomShapes(state: State): RoomShape[] {
  const shares = new Map<string, number>();
  const overnightShare = 1 - state.rules.jobs.liveShare;
  return state.inventory.vms.map((vm) => {
    const pool = state.vms[vm.name]?.pool ?? vm.pool;
    const share = shares.get(pool) ?? jobShare(state, pool);
    shares.set(pool, share);
    const limit = jobLimit(vm, share);
    const overnightLimit = usableSize(limit, overnightShare);
    return { vm: vm.name, pool, limit, overnightLimit };
  });
}

/** Works out the rooms of all VMs of the inventory. */
export function buildRooms(state: State, source: RoomSource): Rooms {
  const rooms: Rooms = { byVm: new Map(), byPool: new Map() };
  for (const shape of source.shapes) {
    const room = buildRoom(state, shape, source);
    rooms.byVm.set(shape.vm, room);
    const others = rooms.byPool.get(shape.pool);
    if (others === undefined) {
      rooms.byPool.set(shape.pool, [room]);
    } else {
      others.push(room);
    }
  }
  return rooms;
}

function buildRoom(state: State, shape: RoomShape, source: RoomSource): Room {
  const { vm, limit } = shape;
  const lease = source.leases.get(vm);
  const health = state.jobs.health[vm]?.phase ?? "healthy";
  const fresh = lease !== undefined && !lease.suspect &&
    source.now - lease.reportedAt <= STALE_MS;
  const serving = state.vms[vm]?.phase === "serving";
  const room: Room = {
    vm,
    pool: shape.pool,
    limit,
    overnightLimit: shape.overnightLimit,
    open: serving && fresh && health !== "quarantined",
    probe: health === "probing",
    free: { ...limit },
    overnight: zeroSize(),
    occupants: [],
    throttled: false,
  };
  occupy(room, source, lease);
  return room;
}

function occupy(
  room: Room,
  { index }: RoomSource,
  lease: VmLease | undefined,
): void {
  const jobs = index.byVm.get(room.vm);
  if (jobs === undefined) {
    return;
  }
  for (const job of jobs.values()) {
    if (job.run !== undefined) {
      const report = lease?.reports.get(job.run.id);
      const size = expectedSize(job.run, report);
      addOccupant(room, { job, run: job.run, size, report });
    }
  }
}

/** Adds a run to the room. */
export function addOccupant(room: Room, occupant: Occupant): void {
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

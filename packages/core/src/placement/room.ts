/**
 * What each VM offers to jobs at this moment: its size, the runs on it and what they are expected to use.
 *
 * @module
 */
import type { Vm } from "../inventory.ts";
import type { Priority } from "../names.ts";
import type { State } from "../state.ts";
import { jobLimit, jobShare, usableSize } from "./feasibility.ts";
import type { Job, Run } from "./job.ts";
import type { JobIndex } from "./job_index.ts";
import { STALE_MS, type VmLease } from "./lease.ts";
import type { RunReport } from "./operation.ts";
import {
  addSize,
  fits,
  remaining,
  type Size,
  subtractSize,
  zeroSize,
} from "./size.ts";

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
  rack: string;
  /** Whether new runs may be placed here. */
  open: boolean;
  /** Whether only one run may be placed, to try whether the VM works again. */
  probe: boolean;
  reportedAt: number;
  /** What jobs may take in all. */
  limit: Size;
  free: Size;
  /** What overnight jobs take. */
  overnight: Size;
  /** What overnight jobs may take in all. */
  overnightLimit: Size;
  occupants: Occupant[];
}

/** The rooms of one pass. */
export interface Rooms {
  byVm: Map<string, Room>;
  byPool: Map<string, Room[]>;
}

/** What the rooms are worked out from. */
export interface RoomSource {
  index: JobIndex;
  leases: Map<string, VmLease>;
  now: number;
}

/** Works out the rooms of all VMs of the inventory. */
export function buildRooms(state: State, source: RoomSource): Rooms {
  const rooms: Rooms = { byVm: new Map(), byPool: new Map() };
  const shares = new Map<string, number>();
  for (const vm of state.inventory.vms) {
    const pool = state.vms[vm.name]?.pool ?? vm.pool;
    const share = shares.get(pool) ?? jobShare(state, pool);
    shares.set(pool, share);
    const room = buildRoom(state, vm, { pool, share, source });
    rooms.byVm.set(vm.name, room);
    const others = rooms.byPool.get(pool);
    if (others === undefined) {
      rooms.byPool.set(pool, [room]);
    } else {
      others.push(room);
    }
  }
  return rooms;
}

function buildRoom(
  state: State,
  vm: Vm,
  { pool, share, source }: { pool: string; share: number; source: RoomSource },
): Room {
  const lease = source.leases.get(vm.name);
  const limit = jobLimit(vm, share);
  const health = state.jobs.health[vm.name]?.phase ?? "healthy";
  const fresh = lease !== undefined && !lease.suspect &&
    source.now - lease.reportedAt <= STALE_MS;
  const serving = state.vms[vm.name]?.phase === "serving";
  const room: Room = {
    vm: vm.name,
    pool,
    rack: vm.rack,
    open: serving && fresh && health !== "quarantined",
    probe: health === "probing",
    reportedAt: lease?.reportedAt ?? -Infinity,
    limit,
    free: { ...limit },
    overnight: zeroSize(),
    overnightLimit: usableSize(limit, 1 - state.rules.jobs.liveShare),
    occupants: [],
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
  const reports = new Map<string, RunReport>();
  for (const report of lease?.report?.runs ?? []) {
    reports.set(report.run, report);
  }
  for (const job of jobs.values()) {
    if (job.run !== undefined) {
      const report = reports.get(job.run.id);
      const size = expectedSize(job.run, report);
      addOccupant(room, { job, run: job.run, size, report });
    }
  }
}

/** Adds a run to the room. */
export function addOccupant(room: Room, occupant: Occupant): void {
  room.occupants.push(occupant);
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

/** What is free for a job; overnight work leaves a share unless it is pressing or cannot run otherwise. */
export function freeFor(
  room: Room,
  { priority, pressing, need }: {
    priority: Priority;
    pressing: boolean;
    need: Size;
  },
): Size {
  const whole = priority !== "overnight" || pressing ||
    !fits(need, room.overnightLimit);
  if (whole) {
    return room.free;
  }
  const left = remaining(room.overnightLimit, room.overnight);
  return {
    millicores: Math.min(left.millicores, room.free.millicores),
    memoryMb: Math.min(left.memoryMb, room.free.memoryMb),
    accelerators: room.free.accelerators,
  };
}

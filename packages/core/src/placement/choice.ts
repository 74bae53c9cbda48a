/**
 * Chooses the VM for a job: best fit on the scarcest resource, so that large holes stay whole.
 *
 * @module
 */
import { PRIORITIES, type Priority } from "../names.ts";
import type { Job } from "./job.ts";
import { hasRoom, type Occupant, type Room } from "./room.ts";
import type { Size } from "./size.ts";

const MOVE_COST_MS = 60_000;
const CLASS_COST_MS = 3_600_000;
/** Share of a throttled run's processors that can be taken from it. */
const THROTTLE_SHARE = 0.9;

/** A VM for a job and the runs that must leave it first. */
export interface Choice {
  room: Room;
  victims: Occupant[];
}

/** The rank of a class; 0 is the most important. */
export function rankOfClass(priority: Priority): number {
  return PRIORITIES.indexOf(priority);
}

/** The fullest VM that can hold the job now. */
export function chooseRoom(
  rooms: readonly Room[],
  job: Job,
  { need, pressing }: { need: Size; pressing: boolean },
): Room | undefined {
  let best: Room | undefined;
  let bestScore = Infinity;
  const demand = { priority: job.priority, pressing };
  const again = mayRetry(rooms, job);
  for (const room of rooms) {
    if (!hasRoom(room, need, demand) || !accepts(room, job, again)) {
      continue;
    }
    const score = leftover(room, need);
    if (score < bestScore) {
      best = room;
      bestScore = score;
    }
  }
  return best;
}

/** Whether the job has failed on every VM that is open, so that it may only be tried again where it failed. */
function mayRetry(rooms: readonly Room[], job: Job): boolean {
  return job.failedOn.length > 0 &&
    rooms.every((room) => !room.open || job.failedOn.includes(room.vm));
}

function leftover(room: Room, need: Size): number {
  const memory = (room.free.memoryMb - need.memoryMb) / room.limit.memoryMb;
  const cores = (room.free.millicores - need.millicores) /
    room.limit.millicores;
  // VMs with accelerators are kept for jobs that need them.
  const wasted = need.accelerators === 0 && room.free.accelerators > 0 ? 2 : 0;
  return memory + cores + wasted;
}

/** Whether the VM may take a run of the job at all; with `again`, also where it has failed. */
export function accepts(room: Room, job: Job, again = false): boolean {
  if (!room.open || (!again && job.failedOn.includes(room.vm))) {
    return false;
  }
  return !room.probe ||
    (room.occupants.length === 0 && job.priority !== "urgent");
}

/**
 * Chooses the VM where making room for the job costs least. Processors are taken by throttling; memory and
 * accelerators by ending runs of classes below the job's.
 */
export function choosePreemption(
  rooms: readonly Room[],
  job: Job,
  { need, at }: { need: Size; at: number },
): Choice | undefined {
  let best: Choice | undefined;
  let bestCost = Infinity;
  for (const room of rooms) {
    if (room.probe || !accepts(room, job)) {
      continue;
    }
    const victims = findVictims(room, job, { need, at });
    const cost = victims === undefined ? Infinity : totalCost(victims, at);
    if (victims !== undefined && cost < bestCost) {
      best = { room, victims };
      bestCost = cost;
    }
  }
  return best;
}

function isBelow(occupant: Occupant, job: Job): boolean {
  return rankOfClass(occupant.job.priority) > rankOfClass(job.priority);
}

/** What is still missing of each resource; none when all are zero or less. */
interface Deficit {
  millicores: number;
  memoryMb: number;
  accelerators: number;
}

function throttleable(size: Size): number {
  return Math.floor(size.millicores * THROTTLE_SHARE);
}

function isCovered(deficit: Deficit): boolean {
  return deficit.millicores <= 0 && deficit.memoryMb <= 0 &&
    deficit.accelerators <= 0;
}

function reduce(deficit: Deficit, { size }: Occupant, sign: 1 | -1): void {
  // The rest of the victim's processors is already counted as taken by throttling.
  deficit.millicores -= sign * (size.millicores - throttleable(size));
  deficit.memoryMb -= sign * size.memoryMb;
  deficit.accelerators -= sign * size.accelerators;
}

function helps(deficit: Deficit, { size }: Occupant): boolean {
  return (deficit.millicores > 0 && size.millicores > 0) ||
    (deficit.memoryMb > 0 && size.memoryMb > 0) ||
    (deficit.accelerators > 0 && size.accelerators > 0);
}

function findVictims(
  room: Room,
  job: Job,
  { need, at }: { need: Size; at: number },
): Occupant[] | undefined {
  const below = room.occupants.filter((occupant) => isBelow(occupant, job));
  const reachable = below.reduce(
    (sum, { size }) => sum + throttleable(size),
    0,
  );
  const deficit = {
    millicores: need.millicores - room.free.millicores - reachable,
    memoryMb: need.memoryMb - room.free.memoryMb,
    accelerators: need.accelerators - room.free.accelerators,
  };
  const candidates = below
    .filter(({ run }) => run.want === "run")
    .sort((a, b) => costOf(a, at) - costOf(b, at));
  const victims: Occupant[] = [];
  for (const candidate of candidates) {
    if (isCovered(deficit)) {
      break;
    }
    if (helps(deficit, candidate)) {
      victims.push(candidate);
      reduce(deficit, candidate, 1);
    }
  }
  return isCovered(deficit) ? spare(victims, deficit) : undefined;
}

/** Drops victims that are not needed after all, the most expensive first. */
function spare(victims: Occupant[], deficit: Deficit): Occupant[] {
  return victims.toReversed().filter((victim) => {
    reduce(deficit, victim, -1);
    if (isCovered(deficit)) {
      return false;
    }
    reduce(deficit, victim, 1);
    return true;
  });
}

function totalCost(victims: readonly Occupant[], at: number): number {
  return victims.reduce((sum, victim) => sum + costOf(victim, at), 0);
}

/** What ending a run costs: its class, the work since its start, and earlier moves. */
function costOf({ job, run }: Occupant, at: number): number {
  const importance = PRIORITIES.length - rankOfClass(job.priority);
  return importance * CLASS_COST_MS + Math.min(at - run.at, CLASS_COST_MS) +
    job.moves * MOVE_COST_MS;
}

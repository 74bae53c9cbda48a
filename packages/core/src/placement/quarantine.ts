/**
 * Decides which VMs are quarantined and which are tried again. What stays open always carries what is placed.
 *
 * @module
 */
import type { State } from "../state.ts";
import { failsEverything, probeDue } from "./health.ts";
import type { JobChange } from "./job.ts";
import type { Room, Rooms } from "./room.ts";

const MAX_QUARANTINED_SHARE = 0.1;
/** What stays must carry this many times what is placed in the pool. */
const CARRY_MARGIN = 1.1;

/** What the decision looks at. */
export interface QuarantineContext {
  rooms: Rooms;
  at: number;
  changes: JobChange[];
}

/** Adds a change for every VM that is quarantined or probed from now on. */
export function decideQuarantine(
  state: State,
  { rooms, at, changes }: QuarantineContext,
): void {
  for (const [vm, health] of Object.entries(state.jobs.health)) {
    const room = rooms.byVm.get(vm);
    if (room === undefined) {
      continue;
    }
    if (probeDue(health, at)) {
      changes.push({ type: "health", vm, phase: "probing" });
    }
    const bad = health.phase === "healthy" &&
      failsEverything(state.jobs, health);
    if (bad && mayQuarantine(room, rooms.byPool.get(room.pool) ?? [], state)) {
      changes.push({ type: "health", vm, phase: "quarantined" });
      room.open = false;
    }
  }
}

function mayQuarantine(room: Room, pool: Room[], state: State): boolean {
  const out = pool.filter((other) => isOut(state, other)).length;
  const most = Math.max(1, Math.floor(pool.length * MAX_QUARANTINED_SHARE));
  if (out >= most) {
    return false;
  }
  let carried = 0;
  let capacity = 0;
  for (const other of pool) {
    carried += other.limit.memoryMb - other.free.memoryMb;
    capacity += other.open && other !== room ? other.limit.memoryMb : 0;
  }
  return capacity >= carried * CARRY_MARGIN;
}

function isOut(state: State, room: Room): boolean {
  const phase = state.jobs.health[room.vm]?.phase ?? "healthy";
  return phase !== "healthy" || (!room.open && room.vm in state.jobs.health &&
    state.vms[room.vm]?.phase === "serving");
}

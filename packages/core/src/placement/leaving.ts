/**
 * Decides which runs must leave their VM: runs on VMs that drain or no longer serve, and runs on VMs whose memory is
 * nearly used up.
 *
 * @module
 */
import type { VmRecord } from "../fleet.ts";
import type { State } from "../state.ts";
import { rankOfClass } from "./choice.ts";
import type { Cause, JobChange } from "./job.ts";
import type { Sizing } from "./learning.ts";
import type { Occupant, Room, Rooms } from "./room.ts";

/** Share of its memory that a VM may use before a run leaves it. */
const PRESSURE_SHARE = 0.92;
/** Share of the drain timeout within which runs may end by themselves; the rest is for checkpoints. */
const DRAIN_FINISH_SHARE = 0.8;

/** What the decision looks at. */
export interface LeavingContext {
  rooms: Rooms;
  sizing: Sizing;
  at: number;
  changes: JobChange[];
}

/** Adds a change for every run that must leave. */
export function decideLeaving(state: State, context: LeavingContext): void {
  for (const room of context.rooms.byVm.values()) {
    if (room.occupants.length === 0) {
      continue;
    }
    const record = state.vms[room.vm];
    const serves = record === undefined || record.phase === "serving";
    if (serves && room.fresh) {
      relievePressure(room, context);
    } else if (!serves) {
      leaveVm(state, room, { record, context });
    }
  }
}

function leaveVm(
  state: State,
  room: Room,
  { record, context }: { record: VmRecord; context: LeavingContext },
): void {
  const finishBy = record.since + patienceMs(state);
  for (const occupant of room.occupants) {
    const runtimeMs = context.sizing.typicalMs(occupant.job) ?? 0;
    const endsAt = occupant.run.at + runtimeMs;
    const mayFinish = record.phase === "draining" && context.at < finishBy &&
      Math.max(endsAt, context.at) <= finishBy;
    if (!mayFinish) {
      askToLeave(room, occupant, { cause: "drain", context });
    }
  }
}

/** How long runs may go on; shorter where a short roll-out weighs more than few moves. */
function patienceMs({ rules }: State): number {
  const { weights, drainTimeoutMs } = rules.maintenance;
  const balance = weights.rollout > 0 ? weights.moves / weights.rollout : 1;
  return drainTimeoutMs * DRAIN_FINISH_SHARE * Math.min(1, balance);
}

function relievePressure(room: Room, context: LeavingContext): void {
  const sizeMb = room.limit.memoryMb;
  let usedMb = 0;
  for (const { report, run } of room.occupants) {
    const counts = report?.phase === "running" && run.want === "run";
    usedMb += counts ? report.memoryMb : 0;
  }
  if (usedMb <= sizeMb * PRESSURE_SHARE) {
    return;
  }
  const candidates = room.occupants
    .filter(({ run, report }) => run.want === "run" && report !== undefined)
    .sort(leastImportantFirst);
  for (const candidate of candidates.slice(0, -1)) {
    if (usedMb <= sizeMb * PRESSURE_SHARE) {
      return;
    }
    askToLeave(room, candidate, { cause: "pressure", context });
    usedMb -= candidate.report?.memoryMb ?? 0;
  }
}

/** The lowest class first, then the run that exceeds its reservation most. */
function leastImportantFirst(a: Occupant, b: Occupant): number {
  const byClass = rankOfClass(b.job.priority) - rankOfClass(a.job.priority);
  return byClass !== 0 ? byClass : excess(b) - excess(a);
}

function excess({ report, run }: Occupant): number {
  return (report?.memoryMb ?? 0) - run.size.memoryMb;
}

function askToLeave(
  room: Room,
  occupant: Occupant,
  { cause, context }: { cause: Cause; context: LeavingContext },
): void {
  const { run, job } = occupant;
  if (run.want === "run") {
    const want = { want: "checkpoint", cause } as const;
    context.changes.push({ type: "want", job: job.id, run: run.id, ...want });
    occupant.run = { ...run, ...want };
    room.planned = true;
  }
}

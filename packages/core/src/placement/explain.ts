/**
 * Explains why a job waits, with the figures that hold it back.
 *
 * @module
 */
import type { State } from "../state.ts";
import { accepts, chooseRoom } from "./choice.ts";
import { isPressing } from "./deadline.ts";
import { least, type PoolLimits, quotasOf } from "./feasibility.ts";
import { countUnsettled, unknownCap } from "./filling.ts";
import { type Job, kindKey } from "./job.ts";
import type { JobIndex } from "./job_index.ts";
import { MIN_SAMPLES, type Sizing } from "./learning.ts";
import type { Room, Rooms } from "./room.ts";
import { fits, formatSize, remaining, type Size, zeroSize } from "./size.ts";

/** Where a job stands and why. */
export interface Explanation {
  job: string;
  state: string;
  reason: string;
}

/** What an explanation is drawn from. */
export interface ExplainContext {
  rooms: Rooms;
  sizing: Sizing;
  limits: PoolLimits;
  index: JobIndex;
  at: number;
}

/** Explains one job. */
export function explainJob(
  state: State,
  id: string,
  context: ExplainContext,
): Explanation {
  const job = state.jobs.active[id];
  if (job === undefined) {
    return explainEnded(state, id);
  }
  if (job.run !== undefined) {
    return { job: id, state: job.phase, reason: explainRun(job) };
  }
  return {
    job: id,
    state: job.phase,
    reason: explainWait(state, job, context),
  };
}

function explainEnded(state: State, id: string): Explanation {
  const ended = state.jobs.ended[id];
  return ended === undefined
    ? { job: id, state: "unknown", reason: "No job has this id" }
    : { job: id, state: ended.end, reason: ended.reason ?? "" };
}

function explainRun({ run }: Job): string {
  if (run === undefined || run.want === "run") {
    return `Run ${run?.id} holds ${
      formatSize(run?.size ?? zeroSize())
    } on ${run?.vm}`;
  }
  return `Run ${run.id} on ${run.vm} is told to ${run.want} because of ${run.cause}`;
}

function explainWait(state: State, job: Job, context: ExplainContext): string {
  const quota = quotasOf(state).get(job.team) ?? zeroSize();
  const limit = context.limits.get(job.pool)?.largest ?? zeroSize();
  const need = context.sizing.reserve(job, least(limit, quota));
  const left = remaining(quota, state.jobs.held[job.team] ?? zeroSize());
  if (!fits(need, left)) {
    return `Team "${job.team}" has ${
      formatSize(left)
    } of its quota left, and the job needs ${formatSize(need)}`;
  }
  const running = countUnsettled(context.index, kindKey(job), context.at);
  const open = context.rooms.byPool.get(job.pool)?.filter((room) => room.open);
  const cap = unknownCap(open?.length ?? 0);
  const unknown = !context.sizing.known(kindKey(job));
  if (unknown && job.priority !== "urgent" && running >= cap) {
    return `Until ${MIN_SAMPLES} jobs of kind "${
      kindKey(job)
    }" are done, at most ${cap} of them start within a minute`;
  }
  return explainRooms(job, need, context);
}

function explainRooms(
  job: Job,
  need: Size,
  { rooms, sizing, at }: ExplainContext,
): string {
  const pool = rooms.byPool.get(job.pool) ?? [];
  const open = pool.filter((room) => accepts(room, job));
  if (open.length === 0) {
    return `None of the ${pool.length} VMs of pool "${job.pool}" takes the job now: they are not serving, silent, quarantined, or the job failed on them`;
  }
  if (chooseRoom(open, job, { need, pressing: true }) === undefined) {
    return `The job needs ${
      formatSize(need)
    }; the most that is free on one of ${open.length} VMs is ${
      formatSize(mostFree(open))
    }`;
  }
  const pressing = isPressing(job, sizing, at);
  if (chooseRoom(open, job, { need, pressing }) === undefined) {
    return "The room that is free is kept for live work; the job starts when room for overnight work is free or its deadline is near";
  }
  return "The job is placed in its team's turn";
}

function mostFree(rooms: readonly Room[]): Size {
  const byMemory = rooms.toSorted((a, b) => b.free.memoryMb - a.free.memoryMb);
  const free = byMemory[0]?.free ?? zeroSize();
  return {
    millicores: Math.max(0, free.millicores),
    memoryMb: Math.max(0, free.memoryMb),
    accelerators: Math.max(0, free.accelerators),
  };
}

/**
 * The workers on which a large step is expected to start earliest.
 *
 * @module
 */
import { reservation, type Resources } from "../model/batch_job.ts";
import type { WaitingStep } from "../model/job_record.ts";
import { byRack, type CandidateWorker } from "../placement/candidate_worker.ts";
import { countFitting } from "../model/resource_sum.ts";
import type { WorkerReservation } from "../placement/worker_reservation.ts";
import type { WorkerTimeline } from "./worker_timeline.ts";

type Timeline = (worker: CandidateWorker) => WorkerTimeline;

/** Advantage in expected start for which a reservation changes its worker, so that workers under it can empty. */
const MIN_GAIN_MS = 200;

/** One worker of a planned start and the number of tasks on it. */
export interface PlannedWorker {
  candidate: CandidateWorker;
  tasks: number;
  startsAt: number;
}

/** The workers where single tasks can start earliest, one worker for each task. */
export function workersOfTasks(
  step: WaitingStep,
  candidates: readonly CandidateWorker[],
  { timeline, limits }: { timeline: Timeline; limits: { maxTasks: number } },
  earlier: ReadonlyMap<string, WorkerReservation>,
): PlannedWorker[] {
  const demand = reservation(step.spec);
  const planned: PlannedWorker[] = [];
  for (const candidate of candidates) {
    const startsAt = timeline(candidate).earliestFit(demand);
    if (startsAt < Infinity) {
      planned.push({ candidate, tasks: 1, startsAt });
    }
  }
  const rank = ({ candidate, startsAt }: PlannedWorker): number =>
    startsAt - (earlier.has(candidate.worker.id) ? MIN_GAIN_MS : 0);
  return planned.sort((a, b) => rank(a) - rank(b))
    .slice(0, Math.min(step.indices.size, limits.maxTasks));
}

/** The workers where all tasks of a gang can start together earliest: on one rack if they fit there, else on any. */
export function workersOfGang(
  step: WaitingStep,
  candidates: readonly CandidateWorker[],
  { timeline }: { timeline: Timeline },
  now: number,
): PlannedWorker[] {
  const groups = step.spec.sameRack
    ? [...byRack(candidates).values(), candidates]
    : [candidates];
  let best: PlannedWorker[] = [];
  let bestStart = Infinity;
  for (const group of groups) {
    const startsAt = earliestTogether(step, group, timeline, now);
    if (startsAt < bestStart) {
      bestStart = startsAt;
      best = workersAt(step, group, timeline, startsAt);
    }
  }
  return best;
}

/** Earliest time at which all tasks fit on a group of workers; Infinity if they never do. */
function earliestTogether(
  step: WaitingStep,
  group: readonly CandidateWorker[],
  timeline: Timeline,
  now: number,
): number {
  const gains: { at: number; tasks: number }[] = [];
  for (const candidate of group) {
    const line = timeline(candidate);
    let before = 0;
    for (const at of line.times()) {
      const tasks = tasksAt(step, line.freeAt(at));
      gains.push({ at, tasks: tasks - before });
      before = tasks;
    }
  }
  gains.sort((a, b) => a.at - b.at);
  let fitting = 0;
  for (const { at, tasks } of gains) {
    fitting += tasks;
    if (fitting >= step.spec.taskCount) {
      return Math.max(now, at);
    }
  }
  return Infinity;
}

/** The workers with the most tasks at a time, until all tasks have a place. */
function workersAt(
  step: WaitingStep,
  group: readonly CandidateWorker[],
  timeline: Timeline,
  startsAt: number,
): PlannedWorker[] {
  const fitting = group.map((candidate) => ({
    candidate,
    tasks: tasksAt(step, timeline(candidate).freeAt(startsAt)),
    startsAt,
  })).filter(({ tasks }) => tasks > 0).sort((a, b) => b.tasks - a.tasks);
  const planned: PlannedWorker[] = [];
  let left = step.spec.taskCount;
  for (const each of fitting) {
    if (left === 0) {
      break;
    }
    const tasks = Math.min(left, each.tasks);
    left -= tasks;
    planned.push({ ...each, tasks });
  }
  return planned;
}

/** Number of tasks of a step that fit on a worker with free resources. */
export function tasksAt({ spec }: WaitingStep, free: Resources): number {
  const limit = spec.maxPerWorker === 0 ? Infinity : spec.maxPerWorker;
  return Math.min(
    limit,
    spec.taskCount,
    countFitting(free, reservation(spec)),
  );
}

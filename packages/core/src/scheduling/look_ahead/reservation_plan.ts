/**
 * Reservations of workers for steps whose tasks are too large for any gap.
 *
 * Each of the most urgent large steps of a pool reserves the worker, or for a gang the workers, where it can start
 * earliest by the expected ends of the runs there (backfilling with several reservations). Less urgent steps use a
 * reserved worker only if they end before that or leave enough room. Since estimates are wrong, the plan is renewed at
 * each pass, and the large step that has waited longest, beyond a bound, holds its worker: it binds more urgent steps as
 * well, and after a while all others, whatever was expected. So the step starts at the latest when what ran there then
 * has ended.
 *
 * @module
 */
import { reservation, type Resources } from "../model/batch_job.ts";
import { BlockedDemands } from "./blocked_demands.ts";
import type { WaitingStep } from "../model/job_record.ts";
import type { CandidateWorker } from "../placement/candidate_worker.ts";
import {
  type PlannedWorker,
  tasksAt,
  workersOfGang,
  workersOfTasks,
} from "./planned_workers.ts";
import { scale } from "../model/resource_sum.ts";
import type { WorkerReservation } from "../placement/worker_reservation.ts";
import type { WorkerTimeline } from "./worker_timeline.ts";

/** Bounds of the reservations of one pool. */
export interface ReservationLimits {
  /** Maximum number of steps with reservations. */
  maxSteps: number;
  /** Maximum share of the pool's workers that are reserved, apart from those that are held. */
  maxWorkerShare: number;
  /** Maximum number of tasks of one step that reserve workers; a gang reserves for all. */
  maxTasks: number;
  /** Time after which a reservation is planned anew on other workers. */
  lifetimeMs: number;
  /** Wait after which the oldest large steps hold their workers. */
  holdAfterMs: number;
  /** Time after which a hold no longer trusts expected ends. */
  strictAfterMs: number;
  /** Maximum number of steps that hold workers. */
  maxHeldSteps: number;
  /** Share of the largest worker, in some resource, from which a task is large. */
  largeShare: number;
  /**
   * Backlog above which only the oldest large steps get room, since each core that idles delays the whole backlog: the
   * time in which the pool, if it were idle, could do the waiting work.
   */
  maxBacklogMs: number;
}

/**
 * Chosen on the loads of `bench large-steps`. With a larger backlog, more reservations or earlier holds, the cores that
 * idle cost the pool more than the large steps gain. 3 s is also the wait after which callers count a job as lost.
 */
export const RESERVATION_LIMITS: ReservationLimits = {
  maxSteps: 4,
  maxWorkerShare: 0.15,
  maxTasks: 4,
  lifetimeMs: 4_000,
  holdAfterMs: 3_000,
  strictAfterMs: 1_000,
  maxHeldSteps: 1,
  largeShare: 0.25,
  maxBacklogMs: 250,
};

/**
 * Maximum number of old steps tried for one hold. A step whose room long-running tasks take cannot hold any, and must
 * not keep the next one from it.
 */
const MAX_HOLD_ATTEMPTS = 16;

/** Durations do not matter where no reservation is in effect. */
const ANY_DURATION = { shortestMs: 0, longestMs: 0 };

/** What reservations of one pool are planned on. */
export interface ReservationInput {
  /** Waiting steps, most urgent first; only large ones matter. */
  waiting: readonly WaitingStep[];
  /** Workers that may get runs of a step. */
  candidates: (step: WaitingStep) => readonly CandidateWorker[];
  /** All workers of the pool that may get runs. */
  workers: readonly CandidateWorker[];
  timeline: (worker: CandidateWorker) => WorkerTimeline;
  /** Time since the step last got a run, in milliseconds. */
  waitedMs: (step: WaitingStep) => number;
  /** Time until the latest start of a step that still meets its job's objective, in milliseconds. */
  slackMs: (step: WaitingStep) => number;
  /** Whether the backlog exceeds its limit. */
  isBacklogged: boolean;
  /** The plan of the previous pass. */
  earlier: readonly WorkerReservation[];
  limits: ReservationLimits;
}

/** Plans the reservations of one pool. */
export function planReservations(
  input: ReservationInput,
  now: number,
): WorkerReservation[] {
  const { limits, workers } = input;
  const largest = largestCapacity(workers);
  const large = input.waiting.filter((step) =>
    isLarge(step, largest, limits.largeShare) && isWhole(step)
  );
  const isBlocked = blockedCheck(input);
  const plan: WorkerReservation[] = [];
  const held = new Set<WaitingStep>();
  for (const step of oldestOf(large, input)) {
    if (held.size === limits.maxHeldSteps) {
      break;
    }
    const made = reservationsOf(step, input, plan, Infinity, true, now);
    if (made.length > 0) {
      held.add(step);
      plan.push(...made);
    }
  }
  if (input.isBacklogged) {
    return plan;
  }
  const maxWorkers = Math.max(
    1,
    Math.floor(limits.maxWorkerShare * workers.length),
  );
  let steps = 0;
  let reservedWorkers = 0;
  for (const step of large) {
    if (steps === limits.maxSteps || reservedWorkers === maxWorkers) {
      break;
    }
    if (held.has(step) || input.slackMs(step) < 0 || !isBlocked(step)) {
      continue;
    }
    const free = maxWorkers - reservedWorkers;
    const made = reservationsOf(step, input, plan, free, false, now);
    steps += 1;
    reservedWorkers += made.length;
    plan.push(...made);
  }
  return plan;
}

/** The most of each resource that a worker has. */
export function largestCapacity(
  workers: readonly CandidateWorker[],
): Resources {
  const largest: Resources = { cpuMilli: 0, memoryMb: 0, gpus: 0 };
  for (const { worker: { capacity } } of workers) {
    largest.cpuMilli = Math.max(largest.cpuMilli, capacity.cpuMilli);
    largest.memoryMb = Math.max(largest.memoryMb, capacity.memoryMb);
    largest.gpus = Math.max(largest.gpus, capacity.gpus);
  }
  return largest;
}

/** Whether no task of a step can start now; a step that needs no less than a blocked one is not tried. */
function blockedCheck(
  { candidates }: ReservationInput,
): (step: WaitingStep) => boolean {
  const blocked = new BlockedDemands(() => ANY_DURATION, () => []);
  return (step) => {
    if (blocked.covers(step)) {
      return true;
    }
    const isBlocked = !canStart(step, candidates(step));
    if (isBlocked) {
      blocked.record(step, false);
    }
    return isBlocked;
  };
}

/** Whether a task needs a large share of the largest worker, or a gang as much together. */
export function isLarge(
  { spec }: WaitingStep,
  largest: Resources,
  share: number,
): boolean {
  const { cpuMilli, memoryMb, gpus } = reservation(spec);
  const tasks = spec.gang ? spec.taskCount : 1;
  return tasks * cpuMilli >= share * largest.cpuMilli ||
    tasks * memoryMb >= share * largest.memoryMb ||
    (gpus > 0 && tasks * gpus >= share * largest.gpus);
}

/** Whether a task, or all tasks of a gang, would fit on idle workers. */
function fitsWhenIdle(
  step: WaitingStep,
  candidates: readonly CandidateWorker[],
): boolean {
  let left = step.spec.gang ? step.spec.taskCount : 1;
  for (const candidate of candidates) {
    if (candidate.acceptsWhenIdle(step)) {
      left -= tasksAt(step, candidate.worker.capacity);
    }
    if (left <= 0) {
      return true;
    }
  }
  return false;
}

/** Whether no member of an earlier run of a gang is left. */
function isWhole({ spec, indices }: WaitingStep): boolean {
  return !spec.gang || indices.size === spec.taskCount;
}

/** Whether a task, or all tasks of a gang, fit now. */
function canStart(
  step: WaitingStep,
  candidates: readonly CandidateWorker[],
): boolean {
  if (!step.spec.gang) {
    return candidates.some((candidate) => candidate.accepts(step));
  }
  let fitting = 0;
  for (const candidate of candidates) {
    fitting += candidate.accepts(step) ? tasksAt(step, candidate.free) : 0;
    if (fitting >= step.spec.taskCount) {
      return true;
    }
  }
  return false;
}

/**
 * The steps that have waited longest, beyond the bound, whether or not they fit at present: what fits now may be taken
 * by more urgent steps at each pass. Those that hold workers already keep them, or their workers would never empty.
 */
function oldestOf(
  large: readonly WaitingStep[],
  { waitedMs, limits, candidates, earlier }: ReservationInput,
): WaitingStep[] {
  const holding = new Set(
    earlier.filter(({ isHeld }) => isHeld).map(({ step }) => step),
  );
  return large
    .map((step) => ({
      step,
      ms: waitedMs(step),
      isNew: !holding.has(step.name),
    }))
    .filter(({ ms, step }) =>
      ms >= limits.holdAfterMs &&
      fitsWhenIdle(step, candidates(step))
    )
    .sort((a, b) => Number(a.isNew) - Number(b.isNew) || b.ms - a.ms)
    .slice(0, MAX_HOLD_ATTEMPTS)
    .map(({ step }) => step);
}

function reservationsOf(
  step: WaitingStep,
  input: ReservationInput,
  plan: readonly WorkerReservation[],
  maxWorkers: number,
  isHeld: boolean,
  now: number,
): WorkerReservation[] {
  const taken = new Set(plan.map(({ worker }) => worker));
  const earlier = new Map<string, WorkerReservation>();
  for (const each of input.earlier) {
    if (each.step === step.name) {
      earlier.set(each.worker, each);
    }
  }
  const isExpired = [...earlier.values()].some(({ since }) =>
    now - since >= input.limits.lifetimeMs
  );
  const open = input.candidates(step).filter((candidate) =>
    !taken.has(candidate.worker.id) && candidate.acceptsWhenIdle(step) &&
    (candidate.jobOnProbation ?? step.job.id) === step.job.id
  );
  const fresh = isExpired && !isHeld
    ? open.filter(({ worker }) => !earlier.has(worker.id))
    : open;
  // A hold must stay where it is, or its worker never empties.
  const kept = open.filter(({ worker }) =>
    earlier.get(worker.id)?.isHeld === true
  );
  const usable = isHeld && kept.length > 0 ? kept : fresh;
  const choose = (among: readonly CandidateWorker[]): PlannedWorker[] =>
    step.spec.gang
      ? workersOfGang(step, among, input, now)
      : workersOfTasks(step, among, input, earlier);
  let planned = choose(usable);
  if (planned.length === 0 && usable === kept) {
    planned = choose(fresh);
  }
  if (!isHeld) {
    // A start that is too late for the objective is not worth the capacity that idles before it.
    const latest = now + input.slackMs(step);
    planned = planned.filter(({ startsAt }) => startsAt <= latest);
  }
  if (planned.length > maxWorkers) {
    // A gang needs all of its workers; other tasks start one by one.
    planned = step.spec.gang ? [] : planned.slice(0, maxWorkers);
  }
  return planned.map(({ candidate, tasks, startsAt }) => {
    const { id } = candidate.worker;
    const before = earlier.get(id);
    const since = before?.isHeld === isHeld ? before.since : now;
    const demand = scale(reservation(step.spec), tasks);
    input.timeline(candidate).claim(demand);
    return {
      step: step.name,
      worker: id,
      demand,
      startsAt,
      since,
      isHeld,
      isStrict: isHeld && now - since >= input.limits.strictAfterMs,
    };
  });
}

/**
 * Placement of tasks on workers.
 *
 * Many small steps share a pool. Tasks are packed on the fullest worker that can take them (best fit), so that wide
 * steps still find empty workers and idle VMs can leave the pool. A worker that fails every task always has free
 * capacity, so a task is not retried for a while on the worker on which it failed. A task that may have crashed a worker
 * is placed where the fewest runs would be lost with it, and no other job beside it while it is on probation.
 *
 * @module
 */
import { freeCpuIndexOf } from "./candidate_index.ts";
import { byRack, type CandidateWorker } from "./candidate_worker.ts";
import { reservation, type Resources } from "../model/batch_job.ts";
import type { RunKey } from "../model/command.ts";
import type { WaitingStep } from "../model/job_record.ts";
import type { TaskRecord } from "../model/task_record.ts";
import { countFitting, covers } from "../model/resource_sum.ts";
import {
  hasSuspects,
  isSuspected,
  onlyLacksResources,
  taskOf,
  tasksOf,
} from "./waiting_tasks.ts";
import { taskName } from "../model/task_name.ts";

/** Time for which a task avoids the worker on which it failed; as long as one or two tasks on another worker. */
const AVOID_FAILED_WORKER_MS = 1_500;

/** Maximum share of a pool's workers with runs on probation, so that other tasks still find workers. */
const MAX_PROBATION_SHARE = 0.5;

/** Smallest demands that could not be placed in one pass, so that a long queue is not tried against full workers. */
export class UnplaceableDemands {
  /** By pool and required label. */
  readonly #smallest = new Map<string, Map<string, Resources>>();

  /** Records a step with tasks that could not be placed, if a lack of free resources was the only cause. */
  record(step: WaitingStep): void {
    const { spec, job } = step;
    if (onlyLacksResources(step)) {
      const inPool = this.#smallest.get(job.pool) ?? new Map();
      inPool.set(spec.requiredLabel, reservation(spec));
      this.#smallest.set(job.pool, inPool);
    }
  }

  /** Whether a step needs at least as much as one that could not be placed. */
  covers({ spec, job }: WaitingStep): boolean {
    const smallest = this.#smallest.get(job.pool)?.get(spec.requiredLabel);
    return smallest !== undefined && covers(reservation(spec), smallest);
  }
}

/**
 * Chooses workers for as many of the waiting tasks of a step as fit; all or none for a gang. `wallNow` is the wall-clock
 * time in milliseconds.
 */
export function placeStep(
  step: WaitingStep,
  candidates: readonly CandidateWorker[],
  wallNow: number,
): RunKey[] {
  const { gang, sameRack, taskCount } = step.spec;
  if (!gang && (!sameRack || hasSuspects(step))) {
    return placeTasks(step, candidates, wallNow);
  }
  if (gang && step.indices.size < taskCount) {
    // Some members of the previous run have not ended, or may not start.
    return [];
  }
  return placeTogether(step, candidates, wallNow);
}

function placeTasks(
  step: WaitingStep,
  candidates: readonly CandidateWorker[],
  wallNow: number,
): RunKey[] {
  const placed: RunKey[] = [];
  for (const index of step.indices) {
    const task = taskOf(step, index);
    const allowed = avoidFailedWorker(step, task, candidates, wallNow);
    const isSuspect = isSuspected(step, index);
    const chosen = isSuspect
      ? chooseForProbation(step, allowed)
      : chooseCandidate(step, allowed);
    if (chosen === undefined && allowed === candidates && !isSuspect) {
      break;
    }
    if (chosen === undefined) {
      continue;
    }
    chosen.reserve(step, isSuspect);
    placed.push(runKey(step, index, chosen.worker.id));
  }
  return placed;
}

/** Candidates other than the worker on which a task failed recently, if any of these could ever run it. */
function avoidFailedWorker(
  step: WaitingStep,
  task: Readonly<TaskRecord> | undefined,
  candidates: readonly CandidateWorker[],
  wallNow: number,
): readonly CandidateWorker[] {
  const failure = task?.lastFailure;
  const agoMs = wallNow - (failure?.atMs ?? -Infinity);
  // A failure in the future was recorded before the wall clock was set back.
  if (failure === undefined || agoMs < 0 || agoMs >= AVOID_FAILED_WORKER_MS) {
    return candidates;
  }
  const others = candidates.filter(({ worker }) =>
    worker.id !== failure.worker
  );
  return others.some((other) => other.acceptsWhenIdle(step))
    ? others
    : candidates;
}

/** Places all tasks on one rack if possible, else on any. If not all fit, a gang is not placed; other steps in part. */
function placeTogether(
  step: WaitingStep,
  candidates: readonly CandidateWorker[],
  wallNow: number,
): RunKey[] {
  const byFreeCpu = [...byRack(candidates).values()].sort((a, b) =>
    freeCpu(b) - freeCpu(a)
  );
  for (const group of [...byFreeCpu, candidates]) {
    const chosen = chooseForAll(step, group);
    if (chosen !== undefined) {
      const isSuspect = hasSuspects(step);
      chosen.forEach((candidate) => candidate.reserve(step, isSuspect));
      const run = step.spec.gang ? nextGangRun(step) : undefined;
      const indices = [...step.indices];
      return chosen.map((candidate, i) => {
        const key = runKey(step, indices[i] ?? 0, candidate.worker.id);
        return run === undefined ? key : { ...key, run };
      });
    }
  }
  return step.spec.gang ? [] : placeTasks(step, candidates, wallNow);
}

/** Chooses a candidate for each task without reserving; undefined if the tasks do not all fit. */
function chooseForAll(
  step: WaitingStep,
  candidates: readonly CandidateWorker[],
): CandidateWorker[] | undefined {
  const { spec, indices } = step;
  const demand = reservation(spec);
  const chosen: CandidateWorker[] = [];
  for (const candidate of candidates) {
    if (!candidate.accepts(step)) {
      continue;
    }
    const fitting = Math.min(
      countFitting(candidate.free, demand),
      spec.maxPerWorker === 0 ? Infinity : spec.maxPerWorker,
      indices.size - chosen.length,
    );
    for (let i = 0; i < fitting; i++) {
      chosen.push(candidate);
    }
  }
  return chosen.length === indices.size ? chosen : undefined;
}

/**
 * Prefers, in this order, candidates that are not paused, those that are not slow, those without interference, those not
 * due for maintenance if the task is long-running, those on the rack of its data, and those where the task fits best.
 */
function chooseCandidate(
  step: WaitingStep,
  candidates: readonly CandidateWorker[],
): CandidateWorker | undefined {
  const { dataRack, lasting } = step.spec;
  let best: CandidateWorker | undefined;
  let bestRank = 0;
  let bestScore = 0;
  const index = freeCpuIndexOf(candidates);
  const { cpuMilli } = reservation(step.spec);
  for (const candidate of index?.from(cpuMilli) ?? candidates) {
    if (!candidate.accepts(step)) {
      continue;
    }
    const isFar = dataRack !== "" &&
      !candidate.worker.labels.includes(dataRack);
    const rank = 16 * Number(candidate.isPaused) +
      8 * Number(candidate.slowness !== undefined) +
      4 * Number(candidate.wouldInterfere(step.spec)) +
      2 * Number(lasting && candidate.isDueForMaintenance) + Number(isFar);
    const score = candidate.scoreOf(step);
    const isBetter = best === undefined || rank < bestRank ||
      (rank === bestRank && score < bestScore);
    if (isBetter) {
      best = candidate;
      bestRank = rank;
      bestScore = score;
    }
    if (index !== undefined && bestRank === 0) {
      // All that follow have more free CPU.
      break;
    }
  }
  return best;
}

/**
 * A candidate that has runs of the same job on probation, or else one where no other run could be taken for the cause of
 * a crash and the fewest would be lost in it; undefined if too many have runs on probation.
 */
function chooseForProbation(
  step: WaitingStep,
  candidates: readonly CandidateWorker[],
): CandidateWorker | undefined {
  const own = candidates.find((candidate) =>
    candidate.jobOnProbation === step.job.id && candidate.accepts(step)
  );
  const onProbation =
    candidates.filter(({ jobOnProbation }) => jobOnProbation !== undefined)
      .length;
  if (
    own !== undefined ||
    (onProbation > 0 &&
      onProbation + 1 > MAX_PROBATION_SHARE * candidates.length)
  ) {
    return own;
  }
  let best: CandidateWorker | undefined;
  let isBestSettled = false;
  for (const candidate of candidates) {
    if (!candidate.accepts(step)) {
      continue;
    }
    const isSettled = candidate.isSettled();
    const isBetter = best === undefined || (isSettled && !isBestSettled) ||
      (isSettled === isBestSettled && candidate.runCount < best.runCount);
    if (isBetter) {
      best = candidate;
      isBestSettled = isSettled;
    }
  }
  return best;
}

function runKey(
  waiting: WaitingStep,
  index: number,
  worker: string,
): RunKey {
  const { job, round, step } = waiting;
  return {
    task: taskName({ job: job.id, round, step, index }),
    run: (taskOf(waiting, index)?.run ?? 0) + 1,
    worker,
  };
}

/** The members of a gang share one run number. */
function nextGangRun(step: WaitingStep): number {
  return 1 + (tasksOf(step)?.highestRun ?? 0);
}

function freeCpu(candidates: readonly CandidateWorker[]): number {
  return candidates.reduce((total, { free }) => total + free.cpuMilli, 0);
}

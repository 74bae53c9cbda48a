/**
 * One placement pass: the waiting steps in their order, and the runs placed for each.
 *
 * @module
 */
import type { RunKey } from "./command.ts";
import type { WaitingStep } from "./job_record.ts";
import {
  type CandidateWorker,
  placeStep,
  UnplaceableDemands,
} from "./task_placement.ts";
import {
  isSlow,
  poolsWithSlowWorkers,
  withoutTooSlow,
} from "./slow_workers.ts";
import { sortByUrgency } from "./urgency.ts";
import type { WorkEstimate } from "./work_estimate.ts";

/** What a placement pass decides on. */
export interface PlacementInput {
  waiting: Iterable<WaitingStep>;
  estimate: WorkEstimate;
  /** Workers that may get new runs, by pool. */
  candidates: ReadonlyMap<string, CandidateWorker[]>;
  /** Whether the advisor permits a step on a worker; asked only for advised queues. */
  isPermitted: (step: string, worker: string) => boolean;
}

/** Runs placed for one step. */
export interface StepPlacement {
  step: WaitingStep;
  runs: RunKey[];
}

export interface PlacementPass {
  /** All waiting steps, most urgent first. */
  steps: WaitingStep[];
  placements: StepPlacement[];
}

/** Chooses workers for the waiting steps. `wallNow` is the wall-clock time in milliseconds. */
export function runPlacementPass(
  input: PlacementInput,
  wallNow: number,
): PlacementPass {
  const steps = sortByUrgency(input.waiting, input.estimate, wallNow);
  const unplaceable = new UnplaceableDemands();
  const unplaceableOnFast = new UnplaceableDemands();
  const slowPools = poolsWithSlowWorkers(input.candidates);
  const placements: StepPlacement[] = [];
  for (const step of steps) {
    if (unplaceable.covers(step)) {
      continue;
    }
    const permitted = candidatesFor(step, input);
    const candidates = slowPools.has(step.job.pool)
      ? withoutTooSlow(step, permitted, input.estimate, wallNow)
      : permitted;
    // Another step may still be placed on a worker that is too slow for this one.
    const isRestricted = candidates.length < permitted.length;
    const needsFast = isRestricted && !candidates.some(isSlow);
    if (needsFast && unplaceableOnFast.covers(step)) {
      continue;
    }
    const runs = placeStep(step, candidates, wallNow);
    if (runs.length < step.indices.size && !isRestricted) {
      unplaceable.record(step);
    } else if (runs.length < step.indices.size && needsFast) {
      unplaceableOnFast.record(step);
    }
    if (runs.length > 0) {
      placements.push({ step, runs });
    }
  }
  return { steps, placements };
}

/** Candidate workers of the step's pool; for an advised queue only those with a permit. */
function candidatesFor(
  { name, job }: WaitingStep,
  { candidates, isPermitted }: PlacementInput,
): CandidateWorker[] {
  const poolCandidates = candidates.get(job.pool) ?? [];
  return job.terms.advised
    ? poolCandidates.filter(({ worker }) => isPermitted(name, worker.id))
    : poolCandidates;
}

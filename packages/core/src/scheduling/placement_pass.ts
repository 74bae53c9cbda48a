/**
 * One placement pass: the waiting steps in their order, and the runs placed for each.
 *
 * @module
 */
import type { RunKey } from "./command.ts";
import { indexFreeRoom } from "./free_room_index.ts";
import type { WaitingStep } from "./job_record.ts";
import type { LookAheadInput, LookAheadPass } from "./look_ahead.ts";
import {
  type CandidateWorker,
  placeStep,
  UnplaceableDemands,
} from "./task_placement.ts";
import { latestStart, sortByUrgency } from "./urgency.ts";
import type { WorkEstimate } from "./work_estimate.ts";

/** What a placement pass decides on. */
export interface PlacementInput {
  waiting: Iterable<WaitingStep>;
  estimate: WorkEstimate;
  /** Workers that may get new runs, by pool. */
  candidates: ReadonlyMap<string, CandidateWorker[]>;
  /** Whether the advisor permits a step on a worker; asked only for advised queues. */
  isPermitted: (step: string, worker: string) => boolean;
  /** Plans for large steps and full racks; undefined for none. */
  lookAhead?: ((input: LookAheadInput) => LookAheadPass) | undefined;
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
  input.candidates.forEach(indexFreeRoom);
  const unplaceable = new UnplaceableDemands();
  const lookAhead = input.lookAhead?.({
    steps,
    candidates: input.candidates,
    candidatesFor: (step) => candidatesFor(step, input),
    slackMs: (step) => latestStart(step, input.estimate) - wallNow,
  });
  const placements: StepPlacement[] = [];
  for (const step of steps) {
    if (lookAhead?.covers(step) ?? unplaceable.covers(step)) {
      continue;
    }
    const stepCandidates = candidatesFor(step, input);
    const runs = lookAhead?.place(step, stepCandidates, wallNow) ??
      placeStep(step, stepCandidates, wallNow);
    if (lookAhead === undefined && runs.length < step.indices.size) {
      unplaceable.record(step);
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

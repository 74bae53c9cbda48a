/**
 * One placement pass: the waiting steps in their order, and the runs placed for each.
 *
 * @module
 */
import type { Resources } from "../model/batch_job.ts";
import type { RunKey } from "../model/command.ts";
import type { Customer } from "../model/customer.ts";
import { CustomerLimits } from "../customers/customer_limits.ts";
import { CustomerShares } from "../customers/customer_shares.ts";
import type { CustomerUsage } from "../customers/customer_usage.ts";
import { indexFreeCpu } from "../placement/candidate_index.ts";
import { IndicesPart } from "../model/index_set.ts";
import type { WaitingStep } from "../model/job_record.ts";
import type {
  LookAheadInput,
  LookAheadPass,
} from "../look_ahead/look_ahead.ts";
import {
  placeByShare,
  placeByUrgency,
  type PlaceTasks,
  type StepWait,
} from "../order/placement_order.ts";
import { addInPlace, NO_RESOURCES } from "../model/resource_sum.ts";
import type { CandidateWorker } from "../placement/candidate_worker.ts";
import { placeStep, UnplaceableDemands } from "../placement/task_placement.ts";
import {
  isSlow,
  poolsWithSlowWorkers,
  withoutTooSlow,
} from "../placement/slow_workers.ts";
import {
  latestStart,
  rankByUrgency,
  type RankedStep,
} from "../order/urgency.ts";
import type { WorkEstimate } from "../order/work_estimate.ts";

/** What a placement pass decides on. */
export interface PlacementInput {
  waiting: Iterable<WaitingStep>;
  estimate: WorkEstimate;
  /** Workers that may get new runs, by pool. */
  candidates: ReadonlyMap<string, CandidateWorker[]>;
  /** Paused workers that may be tried again, by pool; only for steps that the candidates could never take. */
  paused?: ReadonlyMap<string, CandidateWorker[]> | undefined;
  /** Whether the advisor permits a step on a worker; asked only for advised queues. */
  isPermitted: (step: string, worker: string) => boolean;
  /** Undefined if callers are not told apart. */
  customers?: CustomersInput | undefined;
  /** Plans for large steps and full racks; undefined for none. */
  lookAhead?: ((input: LookAheadInput) => LookAheadPass) | undefined;
  /** Most runs to place; those of the last gang may exceed it. */
  maxRuns?: number | undefined;
}

export interface CustomersInput {
  /** Customers of the queue plan; empty if callers are not told apart. */
  planned: readonly Customer[];
  usage: CustomerUsage;
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
  /** Steps of which tasks keep waiting, and why. */
  waits: StepWait[];
}

/** Chooses workers for the waiting steps. `wallNow` is the wall-clock time in milliseconds. */
export function runPlacementPass(
  input: PlacementInput,
  wallNow: number,
): PlacementPass {
  const shares = sharesIn(input);
  const ranked = rankByUrgency(
    input.waiting,
    input.estimate,
    wallNow,
    shares && ((step) => shares.add(step)),
  );
  shares?.divide();
  const steps = ranked.map(({ step }) => step);
  input.candidates.forEach(indexFreeCpu);
  const lookAhead = input.lookAhead?.({
    steps: ranked.filter(mayStart).map(({ step }) => step),
    candidates: input.candidates,
    candidatesFor: (step) => candidatesFor(step, input),
    slackMs: (step) => latestStart(step, input.estimate) - wallNow,
  });
  const placeOnCandidates = lookAhead === undefined
    ? withoutLookAhead(input, wallNow)
    : (step: WaitingStep) =>
      lookAhead.covers(step)
        ? []
        : lookAhead.place(step, candidatesFor(step, input), wallNow);
  const placeTasks = (step: WaitingStep): RunKey[] => {
    const withPaused = candidatesWithPaused(step, input);
    return withPaused === undefined
      ? placeOnCandidates(step)
      : placeStep(step, withPaused, wallNow);
  };
  const placements = new Map<WaitingStep, RunKey[]>();
  let runsLeft = input.maxRuns ?? Infinity;
  const place: PlaceTasks = (step, from, count) => {
    if (runsLeft <= 0) {
      return 0;
    }
    const allowed = step.spec.gang ? count : Math.min(count, runsLeft);
    const runs = placeTasks(partOf(step, from, allowed));
    runsLeft -= runs.length;
    if (runs.length > 0) {
      placements.set(step, [...placements.get(step) ?? [], ...runs]);
    }
    return runs.length;
  };
  const waits = shares === undefined
    ? placeByUrgency(ranked, place)
    : placeByShare(ranked, place);
  return {
    steps,
    placements: Array.from(placements, ([step, runs]) => ({ step, runs })),
    waits,
  };
}

/** Places the tasks of one step after the other, by the capacity that is free now. */
function withoutLookAhead(
  input: PlacementInput,
  wallNow: number,
): (step: WaitingStep) => RunKey[] {
  const unplaceable = new UnplaceableDemands();
  const unplaceableOnFast = new UnplaceableDemands();
  const slowPools = poolsWithSlowWorkers(input.candidates);
  return (step) => {
    if (unplaceable.covers(step)) {
      return [];
    }
    const permitted = candidatesFor(step, input);
    const candidates = slowPools.has(step.job.pool)
      ? withoutTooSlow(step, permitted, input.estimate, wallNow)
      : permitted;
    // Another step may still be placed on a worker that is too slow for this one.
    const isRestricted = candidates.length < permitted.length;
    const needsFast = isRestricted && !candidates.some(isSlow);
    if (needsFast && unplaceableOnFast.covers(step)) {
      return [];
    }
    const runs = placeStep(step, candidates, wallNow);
    if (runs.length < step.indices.size && !isRestricted) {
      unplaceable.record(step);
    } else if (runs.length < step.indices.size && needsFast) {
      unplaceableOnFast.record(step);
    }
    return runs;
  };
}

/** Whether the cap of its customer lets a task of a step start; others reserve no capacity. */
function mayStart({ step, share }: RankedStep): boolean {
  const { spec, indices } = step;
  return share?.limit === undefined ||
    share.limit.startable(spec, indices.size) > 0;
}

/** A step with `count` of its waiting tasks, after the first `from`. */
function partOf(step: WaitingStep, from: number, count: number): WaitingStep {
  if (count === step.indices.size) {
    return step;
  }
  return {
    ...step,
    indices: new IndicesPart(step.indices, { from, size: count }),
  };
}

/** The shares of the plan's customers; undefined if callers are not told apart. */
function sharesIn(
  { candidates, customers }: PlacementInput,
): CustomerShares | undefined {
  if (customers === undefined || customers.planned.length === 0) {
    return undefined;
  }
  const { planned, usage } = customers;
  return new CustomerShares({
    weights: new Map(planned.map(({ name, weight }) => [name, weight])),
    limits: new CustomerLimits(planned, usage),
    usage,
    capacities: capacitiesOf(candidates),
  });
}

/** Resources of the candidate workers, by pool. */
function capacitiesOf(
  candidates: PlacementInput["candidates"],
): Map<string, Resources> {
  const capacities = new Map<string, Resources>();
  for (const [pool, inPool] of candidates) {
    const capacity = { ...NO_RESOURCES };
    inPool.forEach(({ worker }) => addInPlace(capacity, worker.capacity));
    capacities.set(pool, capacity);
  }
  return capacities;
}

/** Candidate workers of the step's pool; for an advised queue only those with a permit. */
function candidatesFor(
  step: WaitingStep,
  { candidates, isPermitted }: PlacementInput,
): CandidateWorker[] {
  const inPool = candidates.get(step.job.pool) ?? [];
  return permitted(step, inPool, isPermitted);
}

function permitted(
  { name, job }: WaitingStep,
  inPool: CandidateWorker[],
  isPermitted: PlacementInput["isPermitted"],
): CandidateWorker[] {
  return job.terms.advised
    ? inPool.filter(({ worker }) => isPermitted(name, worker.id))
    : inPool;
}

/**
 * The candidates of a step and the paused workers of its pool, if the candidates could not take the step even when idle;
 * undefined otherwise. A gang needs room for all of its tasks at once, and long-running tasks never make room for others.
 */
function candidatesWithPaused(
  step: WaitingStep,
  input: PlacementInput,
): CandidateWorker[] | undefined {
  const inPool = input.paused?.get(step.job.pool) ?? [];
  if (inPool.length === 0) {
    return undefined;
  }
  const { gang, lasting, taskCount } = step.spec;
  const needed = gang ? taskCount : lasting ? step.indices.size : 1;
  const candidates = candidatesFor(step, input);
  let count = 0;
  for (const candidate of candidates) {
    count += candidate.countForGood(step);
    if (count >= needed) {
      return undefined;
    }
  }
  return [...candidates, ...permitted(step, inPool, input.isPermitted)];
}

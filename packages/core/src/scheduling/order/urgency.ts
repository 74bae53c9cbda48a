/**
 * The order in which waiting steps are placed.
 *
 * When the demand of a queue exceeds its pool for some seconds, first come, first served would make every job late, so
 * jobs that can still meet their objective go before those that cannot.
 *
 * @module
 */
import type { CustomerShare } from "../customers/customer_shares.ts";
import type { JobRecord, WaitingStep } from "../model/job_record.ts";
import type { WorkEstimate } from "./work_estimate.ts";

/** A waiting step with its sort keys, lowest first. They are computed once, since a sort compares each step often. */
export interface RankedStep {
  step: WaitingStep;
  /** Share of its owner in the pool; undefined if callers are not told apart. */
  share: CustomerShare | undefined;
  /** Class of steps that go before all of higher classes; the shares of customers order the steps within one. */
  urgencyClass: number;
  priority: number;
  /** Latest start that still meets the objective, in wall-clock milliseconds. */
  startBy: number;
}

/**
 * Steps in the order in which they are placed: long-running ones first, then those that can meet their objective, then
 * by priority and by latest start. `wallNow` is the wall-clock time in milliseconds.
 */
export function sortByUrgency(
  waiting: Iterable<WaitingStep>,
  estimate: WorkEstimate,
  wallNow: number,
): WaitingStep[] {
  return rankByUrgency(waiting, estimate, wallNow).map(({ step }) => step);
}

/** The same with the sort keys. `shareOf` is called once for each step, before they are sorted. */
export function rankByUrgency(
  waiting: Iterable<WaitingStep>,
  estimate: WorkEstimate,
  wallNow: number,
  shareOf?: (step: WaitingStep) => CustomerShare,
): RankedStep[] {
  const ranked = Array.from(waiting, (step): RankedStep => {
    const startBy = latestStart(step, estimate);
    return {
      step,
      share: shareOf?.(step),
      urgencyClass: urgencyClass(step, startBy < wallNow),
      priority: step.job.terms.priority,
      startBy,
    };
  });
  return ranked.sort(compareSteps);
}

/** Whether a job misses its objective even if the step starts now. `wallNow` is in wall-clock milliseconds. */
export function isLate(
  step: WaitingStep,
  estimate: WorkEstimate,
  wallNow: number,
): boolean {
  return latestStart(step, estimate) < wallNow;
}

/** Time by which a round should be complete, in wall-clock milliseconds. */
export function objectiveDeadline(
  job: JobRecord,
  round: number,
  estimate: WorkEstimate,
): number {
  return deadlineOf(job, round, estimate.criticalPathMs(job));
}

function deadlineOf(
  { spec, acceptedAtMs, terms }: JobRecord,
  round: number,
  criticalPathMs: number,
): number {
  const repeat = spec?.repeat;
  const from = repeat === undefined
    ? acceptedAtMs
    : repeat.startAtMs + round * repeat.intervalMs;
  const { slackFactor, targetLatencyMs } = terms;
  return from + slackFactor * criticalPathMs + targetLatencyMs;
}

/** Latest start of a step that still meets its job's objective, in wall-clock milliseconds. */
export function latestStart(
  { job, round, step }: WaitingStep,
  estimate: WorkEstimate,
): number {
  const wholeMs = estimate.criticalPathMs(job);
  const restMs = step === 0 ? wholeMs : estimate.criticalPathMs(job, step);
  return deadlineOf(job, round, wholeMs) - restMs;
}

/**
 * Long-running steps go first: they are of use as soon as they run, and they hold only little capacity for a long time.
 * Among them as among the others, those that miss their objective even if they start now go last.
 */
function urgencyClass({ spec }: WaitingStep, isLateNow: boolean): number {
  return (spec.lasting ? 0 : 2) + Number(isLateNow);
}

function compareSteps(a: RankedStep, b: RankedStep): number {
  return a.urgencyClass - b.urgencyClass || a.priority - b.priority ||
    a.startBy - b.startBy;
}

/**
 * The order in which waiting steps are placed.
 *
 * When the demand of a queue exceeds its pool for some seconds, first come, first served would make every job late, so
 * jobs that can still meet their objective go before those that cannot.
 *
 * @module
 */
import type { JobRecord, WaitingStep } from "./job_record.ts";
import type { WorkEstimate } from "./work_estimate.ts";

/** A waiting step with its sort keys. */
interface RankedStep {
  step: WaitingStep;
  /** Whether its job misses its objective even if the step starts now. */
  isLate: boolean;
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
  const ranked = Array.from(waiting, (step): RankedStep => {
    const startBy = latestStart(step, estimate);
    return { step, startBy, isLate: startBy < wallNow };
  });
  return ranked.sort(compareSteps).map(({ step }) => step);
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
  const repeat = job.spec?.repeat;
  const from = repeat === undefined
    ? job.acceptedAtMs
    : repeat.startAtMs + round * repeat.intervalMs;
  const { slackFactor, targetLatencyMs } = job.terms;
  return from + slackFactor * estimate.criticalPathMs(job) + targetLatencyMs;
}

/** Latest start of a step that still meets the objective of its job, in wall-clock milliseconds. */
export function latestStart(
  { job, round, step }: WaitingStep,
  estimate: WorkEstimate,
): number {
  return objectiveDeadline(job, round, estimate) -
    estimate.criticalPathMs(job, step);
}

function compareSteps(a: RankedStep, b: RankedStep): number {
  return Number(endsByItself(a)) - Number(endsByItself(b)) ||
    Number(a.isLate) - Number(b.isLate) ||
    a.step.job.terms.priority - b.step.job.terms.priority ||
    a.startBy - b.startBy;
}

/**
 * Whether a step's tasks end by themselves. Long-running ones go first: they are of use as soon as they run, and they
 * hold only little capacity for a long time.
 */
function endsByItself({ step }: RankedStep): boolean {
  return !step.spec.lasting;
}

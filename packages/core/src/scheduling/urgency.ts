/**
 * The order in which waiting steps get room.
 *
 * Answers the pattern of a queue whose demand rises above its pool for some seconds: first come, first served would
 * make every job late, so jobs that can still meet their objective go before those that cannot.
 *
 * @module
 */
import type { JobRecord, WaitingStep } from "./job_record.ts";
import type { WorkEstimate } from "./work_estimate.ts";

/** A waiting step with what decides about its turn. */
interface Candidate {
  step: WaitingStep;
  /** Whether its job misses its objective even if it starts now. */
  isLate: boolean;
  /** Latest time at which the step must start, in milliseconds of the wall clock. */
  startBy: number;
}

/** Steps in the order in which they get room: by priority, those in time, started jobs, then by latest start. */
export function inOrderOfUrgency(
  waiting: Iterable<WaitingStep>,
  estimate: WorkEstimate,
  wallNow: number,
): WaitingStep[] {
  const candidates = Array.from(waiting, (step): Candidate => {
    const startBy = objectiveEnd(step.job, step.round, estimate) -
      estimate.chainMs(step.job, step.step);
    return { step, startBy, isLate: startBy < wallNow };
  });
  return candidates.sort(compare).map(({ step }) => step);
}

/** When a round should be complete, in milliseconds of the wall clock. */
export function objectiveEnd(
  job: JobRecord,
  round: number,
  estimate: WorkEstimate,
): number {
  const repeat = job.spec?.repeat;
  const from = repeat === undefined
    ? job.acceptedAtMs
    : repeat.startAtMs + round * repeat.intervalMs;
  const { slackFactor, targetLatencyMs } = job.terms;
  return from + slackFactor * estimate.chainMs(job) + targetLatencyMs;
}

function compare(a: Candidate, b: Candidate): number {
  return Number(lastsNot(a)) - Number(lastsNot(b)) ||
    Number(a.isLate) - Number(b.isLate) ||
    a.step.job.terms.priority - b.step.job.terms.priority ||
    a.startBy - b.startBy;
}

/** Tasks that last earn from their first second on, and hold little room for long. */
function lastsNot({ step }: Candidate): boolean {
  return !step.spec.lasting;
}

/**
 * The order in which waiting steps get room.
 *
 * @module
 */
import type { JobRecord, WaitingStep } from "./job_record.ts";

/** Waiting steps in the order in which they get room: by priority of the queue, then by age of the job. */
export function inOrderOfUrgency(
  waiting: Iterable<WaitingStep>,
): WaitingStep[] {
  return [...waiting].sort((a, b) => compareJobs(a.job, b.job));
}

function compareJobs(a: JobRecord, b: JobRecord): number {
  return a.terms.priority - b.terms.priority ||
    a.acceptedAtMs - b.acceptedAtMs;
}

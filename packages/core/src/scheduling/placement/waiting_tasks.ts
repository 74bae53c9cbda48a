/**
 * What earlier runs tell of the waiting tasks of a step.
 *
 * @module
 */
import type { TaskRecord, WaitingStep } from "../model/job_record.ts";

export function taskOf(
  { job, round, step }: WaitingStep,
  index: number,
): TaskRecord | undefined {
  return job.rounds[round]?.tasks[step]?.[index];
}

/** Whether a task may have crashed a worker. */
export function isSuspected(step: WaitingStep, index: number): boolean {
  return taskOf(step, index)?.suspicion !== undefined;
}

/** Whether any waiting task failed on a worker or may have crashed one, so that not all workers are the same to it. */
export function hasFaultyRuns(step: WaitingStep): boolean {
  return [...step.indices].some((index) =>
    taskOf(step, index)?.lastFailure !== undefined || isSuspected(step, index)
  );
}

/** Whether nothing but a lack of free resources can keep a task of a step from a worker with the required label. */
export function onlyLacksResources(step: WaitingStep): boolean {
  const { spec, job } = step;
  return !spec.gang && !spec.sameRack && spec.maxPerWorker === 0 &&
    !job.terms.advised && !hasFaultyRuns(step);
}

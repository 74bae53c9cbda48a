/**
 * What earlier runs tell of the waiting tasks of a step.
 *
 * @module
 */
import type { WaitingStep } from "../model/job_record.ts";
import type { TaskRecord } from "../model/task_record.ts";
import type { StepTasks } from "../model/step_tasks.ts";

/** The tasks of the step, waiting or not. */
export function tasksOf(
  { job, round, step }: WaitingStep,
): StepTasks | undefined {
  return job.rounds[round]?.tasks[step];
}

export function taskOf(
  step: WaitingStep,
  index: number,
): Readonly<TaskRecord> | undefined {
  return tasksOf(step)?.at(index);
}

/** Whether a task may have crashed a worker. */
export function isSuspected(step: WaitingStep, index: number): boolean {
  return taskOf(step, index)?.suspicion !== undefined;
}

/** Whether any waiting task may have crashed a worker. */
export function hasSuspects(step: WaitingStep): boolean {
  return tasksOf(step)?.hasSuspects(step.indices) === true;
}

/** Whether any waiting task failed on a worker or may have crashed one, so that not all workers are the same to it. */
export function hasFaultyRuns(step: WaitingStep): boolean {
  return tasksOf(step)?.hasFaulty(step.indices) === true;
}

/** Whether nothing but a lack of free resources can keep a task of a step from a worker with the required label. */
export function onlyLacksResources(step: WaitingStep): boolean {
  const { spec, job } = step;
  return !spec.gang && !spec.sameRack && spec.maxPerWorker === 0 &&
    !job.terms.advised && !hasFaultyRuns(step);
}

/**
 * Names of tasks and steps, JOB.ROUND.STEP.INDEX and JOB.ROUND.STEP, and of the runs of a task.
 *
 * @module
 */

/** Position of a task within its job. */
export interface TaskPosition {
  job: string;
  /** Repetition of the job, from 0. */
  round: number;
  step: number;
  index: number;
}

const TASK_NAME = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/;

export function taskName({ job, round, step, index }: TaskPosition): string {
  return `${job}.${round}.${step}.${index}`;
}

/** Parses the name of a task; undefined if it is malformed. */
export function parseTaskName(name: string): TaskPosition | undefined {
  const parts = TASK_NAME.exec(name);
  if (parts === null) {
    return undefined;
  }
  const [, job = "", round, step, index] = parts;
  return {
    job,
    round: Number(round),
    step: Number(step),
    index: Number(index),
  };
}

export function stepName(
  { job, round, step }: Omit<TaskPosition, "index">,
): string {
  return `${job}.${round}.${step}`;
}

/** Name of a run, by which runs are told apart on one worker. */
export function runName({ task, run }: { task: string; run: number }): string {
  return `${task} ${run}`;
}

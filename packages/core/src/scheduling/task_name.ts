/**
 * Names of tasks and steps: JOB.ROUND.STEP.INDEX and JOB.ROUND.STEP.
 *
 * @module
 */

/** Where a task stands in its job. */
export interface TaskPlace {
  job: string;
  /** Which repetition of the job, from 0. */
  round: number;
  step: number;
  index: number;
}

const TASK_NAME = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/;

export function taskName({ job, round, step, index }: TaskPlace): string {
  return `${job}.${round}.${step}.${index}`;
}

/** Splits the name of a task; undefined when it is none. */
export function parseTaskName(name: string): TaskPlace | undefined {
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
  { job, round, step }: Omit<TaskPlace, "index">,
): string {
  return `${job}.${round}.${step}`;
}

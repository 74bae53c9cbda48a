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

export function taskName({ job, round, step, index }: TaskPosition): string {
  return `${job}.${round}.${step}.${index}`;
}

/** Parses the name of a task; undefined if it is malformed. */
export function parseTaskName(name: string): TaskPosition | undefined {
  // Every command names its tasks, and a regular expression allocates a list for each.
  const beforeIndex = name.lastIndexOf(".");
  const beforeStep = name.lastIndexOf(".", beforeIndex - 1);
  const beforeRound = name.lastIndexOf(".", beforeStep - 1);
  const index = parseCount(name, beforeIndex + 1, name.length);
  const step = parseCount(name, beforeStep + 1, beforeIndex);
  const round = parseCount(name, beforeRound + 1, beforeStep);
  return beforeRound < 1 || name.indexOf(".") !== beforeRound ||
      index === undefined || step === undefined || round === undefined
    ? undefined
    : { job: name.slice(0, beforeRound), round, step, index };
}

const ZERO = "0".charCodeAt(0);

/** The decimal digits of a part of a text as a number; undefined if it is empty or has other characters. */
function parseCount(
  text: string,
  from: number,
  to: number,
): number | undefined {
  let count = 0;
  for (let i = from; i < to; i++) {
    const digit = text.charCodeAt(i) - ZERO;
    if (digit < 0 || digit > 9) {
      return undefined;
    }
    count = count * 10 + digit;
  }
  return from < to ? count : undefined;
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

/**
 * Estimated sizes of what a replica holds, in bytes: in memory, as measured with Node.js 20 (`npm run bench -- job-memory`),
 * or in a snapshot, if that is more.
 *
 * @module
 */
import type { BatchJobSpec, StepSpec } from "./batch_job.ts";

/** An open job without its steps and its text. */
export const JOB_BYTES = 700;

/** A step of a job, without its lists and labels. */
export const STEP_BYTES = 300;

/** A step of a round that has begun, without tasks that have run. */
export const ROUND_STEP_BYTES = 900;

/** A task that has run and is not settled. */
export const TASK_BYTES = 250;

/** What an active run adds to its task. */
export const RUN_BYTES = 500;

/** A range of indices. */
export const RANGE_BYTES = 16;

/** A job whose outcome is kept. */
export const ENDED_JOB_BYTES = 500;

/** Largest code of an ASCII character. */
const MAX_ASCII = 0x7f;

/** An element of a list of numbers. */
const NUMBER_BYTES = 8;

/** What a character beyond ASCII takes more than one in a snapshot, where it is escaped. */
const ESCAPE_BYTES = 5;

/** Size of a text in a snapshot; in memory it takes less. */
export function textBytes(text: string): number {
  const quoted = JSON.stringify(text);
  let bytes = quoted.length - 2;
  for (let i = 0; i < quoted.length; i++) {
    bytes += quoted.charCodeAt(i) > MAX_ASCII ? ESCAPE_BYTES : 0;
  }
  return bytes;
}

/** Size of an open job without its rounds. */
export function specBytes({ text, steps }: BatchJobSpec): number {
  return steps.reduce(
    (sum, step) => sum + stepBytes(step),
    JOB_BYTES + textBytes(text),
  );
}

/** Size of a round of a job in which no task has run. */
export function roundBytes({ steps }: BatchJobSpec): number {
  return steps.length * ROUND_STEP_BYTES;
}

/** Size of a job when it is accepted. */
export function submissionBytes(spec: BatchJobSpec): number {
  return specBytes(spec) + (spec.repeat === undefined ? roundBytes(spec) : 0);
}

function stepBytes(
  { dependsOn, requiredLabel, dataRack, image }: StepSpec,
): number {
  return STEP_BYTES + NUMBER_BYTES * dependsOn.length +
    textBytes(requiredLabel) + textBytes(dataRack) + textBytes(image);
}

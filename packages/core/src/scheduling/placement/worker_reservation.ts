/**
 * A worker that is reserved for a large step.
 *
 * @module
 */
import type { Resources } from "../model/batch_job.ts";

/** A worker that is reserved for tasks of a step. */
export interface WorkerReservation {
  step: string;
  worker: string;
  /** Resources of all its tasks for which it is reserved. */
  demand: Resources;
  /** Expected start of the tasks, in monotonic milliseconds. */
  startsAt: number;
  /** When the step first reserved, or held, the worker. */
  since: number;
  /** Whether it binds more urgent steps as well. */
  isHeld: boolean;
  /** Whether the worker takes no runs of other steps, whatever their expected ends. */
  isStrict: boolean;
}

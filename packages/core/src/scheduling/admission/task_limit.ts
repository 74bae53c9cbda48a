/**
 * Limit on the tasks that the job store holds, so that no submission takes more memory than a replica has.
 *
 * Every replica keeps a record of each task of an open job. A replica that ends for lack of memory ends again when it
 * applies its log, so a submission beyond the limit must be refused before it is stored.
 *
 * @module
 */
import { type Fault, fault } from "../../fault.ts";
import { Err, Ok, type Result } from "../../result.ts";
import { type BatchJobSpec, taskCountOf } from "../model/batch_job.ts";

/** When a caller should retry while the store is full: after the duration of some tasks. */
const RETRY_AFTER_MS = 2_000;

/** Whether the store may hold the tasks of one more round beside those that it holds. */
export function hasRoomFor(
  spec: BatchJobSpec,
  heldTasks: number,
  maxTasks: number,
): boolean {
  return heldTasks + taskCountOf(spec) <= maxTasks;
}

/** Refuses a job that the store can never hold, and one for which it has no room now. */
export function checkTaskLimit(
  spec: BatchJobSpec,
  heldTasks: number,
  maxTasks: number,
): Result<void, Fault> {
  const tasks = taskCountOf(spec);
  if (tasks > maxTasks) {
    return Err(
      fault("invalid", `Job has ${tasks} tasks; a job may have ${maxTasks}`, {
        outcome: "not run",
        remedy: "Submit it as several jobs, or raise limits.maxTasks",
      }),
    );
  }
  if (!hasRoomFor(spec, heldTasks, maxTasks)) {
    const message =
      `Job has ${tasks} tasks; ${heldTasks} of ${maxTasks} are taken`;
    return Err(
      fault("overloaded", message, {
        outcome: "not run",
        retryAfterMs: RETRY_AFTER_MS,
      }),
    );
  }
  return Ok.EMPTY;
}

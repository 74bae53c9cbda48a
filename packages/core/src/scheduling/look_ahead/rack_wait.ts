/**
 * The wait of tasks for the rack that holds their data.
 *
 * Elsewhere a task takes longer. Waiting pays off only if the rack has capacity for it sooner than that costs. Tasks that
 * wait for the same rack share the expected ends there, each in its turn, and none waits longer than a bound.
 *
 * @module
 */
import { reservation } from "../model/batch_job.ts";
import type { WaitingStep } from "../model/job_record.ts";
import type { WorkerTimeline } from "./worker_timeline.ts";

/** Longest wait for a rack; a hung run or a wrong estimate costs no more. */
const MAX_RACK_WAIT_MS = 1_500;

/** Share of the cost of a remote run that the expected wait may take, since ends are expected with an error. */
const MAX_WAIT_SHARE = 0.8;

/** What is known of a step that found no capacity on the rack of its data. */
export interface RackWait {
  /** Number of its tasks without a worker. */
  tasks: number;
  maxWaitMs: number;
  /** Workers on the rack. */
  timelines: readonly WorkerTimeline[];
}

/** Longest time that a step that has waited for `waitedMs` may go on waiting for a rack. */
export function maxRackWaitMs(remoteCostMs: number, waitedMs: number): number {
  return Math.min(MAX_RACK_WAIT_MS, MAX_WAIT_SHARE * remoteCostMs) - waitedMs;
}

/** Number of tasks of a step that had better wait for the rack; their capacity is claimed in the timelines. */
export function countWaiting(
  { spec }: Pick<WaitingStep, "spec">,
  { tasks, maxWaitMs, timelines }: RackWait,
  now: number,
): number {
  const demand = reservation(spec);
  for (let waiting = 0; waiting < tasks; waiting++) {
    let earliest: WorkerTimeline | undefined;
    let startsAt = now + maxWaitMs;
    for (const timeline of timelines) {
      const at = timeline.earliestFit(demand);
      if (at < startsAt) {
        earliest = timeline;
        startsAt = at;
      }
    }
    if (earliest === undefined) {
      return waiting;
    }
    earliest.claim(demand);
  }
  return tasks;
}

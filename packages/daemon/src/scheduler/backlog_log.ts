/**
 * Logs the backlog of each pool, and the capacity that the pool has for it.
 *
 * @module
 */
import {
  isLate,
  type JobStore,
  type PoolDemand,
  type WaitingStep,
  type Worker,
  type WorkEstimate,
} from "@quetzalcove/core/scheduling";
import type { Log } from "../observe/log.ts";
import type { LeftOutWorker } from "./worker_sessions.ts";

/** State of the pools at one moment. */
export interface BacklogSnapshot {
  jobStore: JobStore;
  demands: ReadonlyMap<string, PoolDemand>;
  /** Workers that may get new runs, by pool. */
  usableWorkers: ReadonlyMap<string, readonly Worker[]>;
  /** Workers that get no new runs. */
  leftOutWorkers: readonly LeftOutWorker[];
  estimate: WorkEstimate;
}

/** Interval at which backlogs, and the customers that wait, are logged while steps wait. */
export const BACKLOG_LOG_INTERVAL_MS = 500;

/** Most workers named in one line. */
const MAX_NAMED_WORKERS = 4;

const MILLICORES_PER_CORE = 1_000;

/** Logs one line for each pool in which steps wait. `wallNow` is the wall-clock time in milliseconds. */
export function logBacklogs(
  { jobStore, demands, usableWorkers, leftOutWorkers, estimate }:
    BacklogSnapshot,
  log: Log,
  wallNow: number,
): void {
  const waiting = new Map<string, WaitingStep[]>();
  for (const step of jobStore.waiting.values()) {
    const steps = waiting.get(step.job.pool) ?? [];
    steps.push(step);
    waiting.set(step.job.pool, steps);
  }
  for (const [pool, steps] of waiting) {
    const workers = usableWorkers.get(pool) ?? [];
    const demand = demands.get(pool);
    log.info("pool.backlog", {
      pool,
      steps: steps.length,
      lateSteps: steps.filter((step) => isLate(step, estimate, wallNow)).length,
      oldestMs: Math.round(
        wallNow - Math.min(...steps.map(({ job }) => job.acceptedAtMs)),
      ),
      waitingCores: Math.round(demand?.waiting ?? 0),
      wantedCores: Math.round(demand?.wanted ?? 0),
      usableWorkers: workers.length,
      freeCores: Math.round(
        freeMillicores(jobStore, workers) / MILLICORES_PER_CORE,
      ),
      ...describeLeftOut(leftOutWorkers.filter((each) => each.pool === pool)),
    });
  }
}

/** Names the first of the workers that are left out, each with the reason and the milliseconds until it ends. */
function describeLeftOut(
  workers: readonly LeftOutWorker[],
): { leftOutWorkers?: number; leftOut?: string } {
  if (workers.length === 0) {
    return {};
  }
  const described = workers.slice(0, MAX_NAMED_WORKERS).map(
    ({ worker, reason, endsInMs }) =>
      endsInMs === undefined
        ? `${worker}: ${reason}`
        : `${worker}: ${reason}, ${Math.round(endsInMs)} ms`,
  );
  return { leftOutWorkers: workers.length, leftOut: described.join("; ") };
}

function freeMillicores(
  jobStore: JobStore,
  workers: readonly Worker[],
): number {
  return workers.reduce(
    (sum, { id, capacity }) =>
      sum + capacity.cpuMilli - jobStore.load(id).reserved.cpuMilli,
    0,
  );
}

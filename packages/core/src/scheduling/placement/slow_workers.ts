/**
 * Which steps may be placed on slow workers: those that still meet their objective there.
 *
 * @module
 */
import type { WaitingStep } from "../model/job_record.ts";
import type { CandidateWorker } from "./candidate_worker.ts";
import { latestStart } from "../order/urgency.ts";
import type { WorkEstimate } from "../order/work_estimate.ts";
import type { Slowness } from "../workers/worker_speed.ts";

export function isSlow({ slowness }: CandidateWorker): boolean {
  return slowness !== undefined;
}

/** Pools with at least one slow worker among the candidates. */
export function poolsWithSlowWorkers(
  candidates: ReadonlyMap<string, readonly CandidateWorker[]>,
): ReadonlySet<string> {
  return new Set(
    [...candidates].flatMap(([pool, workers]) =>
      workers.some(isSlow) ? [pool] : []
    ),
  );
}

/**
 * The candidates for a step without the slow ones on which it would become late; all of them if it is late anyway.
 * `wallNow` is in milliseconds.
 */
export function withoutTooSlow(
  step: WaitingStep,
  candidates: readonly CandidateWorker[],
  estimate: WorkEstimate,
  wallNow: number,
): readonly CandidateWorker[] {
  const { lasting, fills, estimatedMs } = step.spec;
  if (lasting || fills) {
    return candidates;
  }
  const slackMs = latestStart(step, estimate) - wallNow;
  if (slackMs < 0) {
    return candidates;
  }
  const taskMs = estimate.taskMs(step.job.queue, estimatedMs);
  const isFastEnough = ({ factor, isProbed }: Slowness): boolean =>
    isProbed || (factor - 1) * taskMs <= slackMs;
  return candidates.filter(({ slowness }) =>
    slowness === undefined || isFastEnough(slowness)
  );
}

/**
 * Explains the state of a job; for a waiting job, with the quantities that keep it waiting.
 *
 * @module
 */
import type { State } from "../state.ts";
import { isNearDeadline } from "./deadline.ts";
import { componentMin, type PoolLimits, quotasOf } from "./feasibility.ts";
import { type Job, kindKey } from "./job.ts";
import type { JobIndex } from "./job_index.ts";
import { countWarmingUp, warmUpLimit } from "./queue_placement.ts";
import { fits, formatSize, remaining, type Size, zeroSize } from "./size.ts";
import { MIN_SAMPLES, type SizeEstimator } from "./size_estimator.ts";
import type { VmCapacities, VmCapacity } from "./vm_capacity.ts";
import { isEligible, selectVm } from "./vm_selection.ts";

/** State of a job and the reason for it. */
export interface Explanation {
  job: string;
  state: string;
  reason: string;
}

/** Inputs of an explanation. */
export interface ExplainContext {
  vms: VmCapacities;
  estimator: SizeEstimator;
  limits: PoolLimits;
  index: JobIndex;
  at: number;
}

/** Explains the state of an active, ended or unknown job. */
export function explainJob(
  state: State,
  id: string,
  context: ExplainContext,
): Explanation {
  const job = state.jobs.active[id];
  if (job === undefined) {
    return explainEnded(state, id);
  }
  if (job.run !== undefined) {
    return { job: id, state: job.phase, reason: explainRun(job) };
  }
  return {
    job: id,
    state: job.phase,
    reason: explainWait(state, job, context),
  };
}

function explainEnded(state: State, id: string): Explanation {
  const ended = state.jobs.ended[id];
  return ended === undefined
    ? { job: id, state: "unknown", reason: "No job has this id" }
    : { job: id, state: ended.end, reason: ended.reason ?? "" };
}

function explainRun({ run }: Job): string {
  if (run === undefined || run.want === "run") {
    return `Run ${run?.id} holds ${
      formatSize(run?.size ?? zeroSize())
    } on ${run?.vm}`;
  }
  return `Run ${run.id} on ${run.vm} is told to ${run.want} because of ${run.cause}`;
}

function explainWait(state: State, job: Job, context: ExplainContext): string {
  const quota = quotasOf(state).get(job.team) ?? zeroSize();
  const limit = context.limits.get(job.pool)?.largest ?? zeroSize();
  const need = context.estimator.reserve(job, componentMin(limit, quota));
  const left = remaining(quota, state.jobs.held[job.team] ?? zeroSize());
  if (!fits(need, left)) {
    return `Team "${job.team}" has ${
      formatSize(left)
    } of its quota left, and the job needs ${formatSize(need)}`;
  }
  const warmingUp = countWarmingUp(context.index, kindKey(job), context.at);
  const open = context.vms.byPool.get(job.pool)?.filter((vm) => vm.schedulable);
  const cap = warmUpLimit(open?.length ?? 0);
  const sizeUnknown = !context.estimator.hasEnoughSamples(kindKey(job));
  if (sizeUnknown && job.priority !== "urgent" && warmingUp >= cap) {
    return `Until ${MIN_SAMPLES} jobs of kind "${
      kindKey(job)
    }" are done, at most ${cap} of them start within a minute`;
  }
  return explainPlacement(job, need, context);
}

function explainPlacement(
  job: Job,
  need: Size,
  { vms, estimator, at }: ExplainContext,
): string {
  const pool = vms.byPool.get(job.pool) ?? [];
  const open = pool.filter((vm) => isEligible(vm, job));
  if (open.length === 0) {
    return `None of the ${pool.length} VMs of pool "${job.pool}" takes the job now: they are not serving, silent, quarantined, or the job failed on them`;
  }
  if (selectVm(open, job, { need, nearDeadline: true }) === undefined) {
    return `The job needs ${
      formatSize(need)
    }; the most that is free on one of ${open.length} VMs is ${
      formatSize(mostFree(open))
    }`;
  }
  const nearDeadline = isNearDeadline(job, estimator, at);
  if (selectVm(open, job, { need, nearDeadline }) === undefined) {
    return "The room that is free is kept for live work; the job starts when room for overnight work is free or its deadline is near";
  }
  return "The job is placed in its team's turn";
}

function mostFree(vms: readonly VmCapacity[]): Size {
  const byMemory = vms.toSorted((a, b) => b.free.memoryMb - a.free.memoryMb);
  const free = byMemory[0]?.free ?? zeroSize();
  return {
    millicores: Math.max(0, free.millicores),
    memoryMb: Math.max(0, free.memoryMb),
    accelerators: Math.max(0, free.accelerators),
  };
}

/**
 * Compares placed runs with agent reports and leases to find runs that ended, were lost or have a new checkpoint.
 *
 * @module
 */
import { type Job, type JobChange, kindKey, type Run } from "./job.ts";
import type { JobIndex } from "./job_index.ts";
import {
  cannotHaveStarted,
  emptyLease,
  emptyRunLease,
  hasAgentRestarted,
  type RunLease,
  STALE_REPORT_MS,
  type VmLease,
} from "./lease.ts";
import type { RunReport } from "./operation.ts";
import type { SizeEstimator } from "./size_estimator.ts";
import { WARM_UP_MS } from "./vm_capacity.ts";

/** A run whose start was not sent to an agent within this time is removed, so that its job is placed again. */
const START_TIMEOUT_MS = 10_000;
const URGENT_START_TIMEOUT_MS = 2_000;
/** A VM that sends no report for this long while an urgent run waits to start on it counts as lost. */
const URGENT_SILENCE_TIMEOUT_MS = 1_200;
const RECHECK_INTERVAL_MS = 500;

/** Inputs of one pass and the list to which changes are added. */
export interface ReconcileContext {
  index: JobIndex;
  leases: Map<string, VmLease>;
  now: number;
  at: number;
  /** VMs whose runs or reports changed since the last pass. */
  changedVms: ReadonlySet<string>;
  /** Expiry of the leases of runs that an earlier leader may have renewed; set only in the first pass of a term. */
  initialExpiry?: number;
  estimator: SizeEstimator;
  changes: JobChange[];
}

/** Adds a change for each run that ended, was lost or has a new checkpoint. */
export function reconcileRuns(context: ReconcileContext): void {
  const { index, leases, changedVms, now, changes } = context;
  for (const [vm, jobs] of index.byVm) {
    const lease = leases.get(vm) ?? emptyLease();
    leases.set(vm, lease);
    if (!changedVms.has(vm) && now < lease.nextCheckAt) {
      continue;
    }
    const before = changes.length;
    for (const job of jobs.values()) {
      if (job.run !== undefined) {
        const report = lease.reports.get(job.run.id);
        reconcileRun(context, { job, run: job.run, lease, report });
      }
    }
    removeStaleLeases(lease, jobs);
    // Changes are proposed again in each pass until they are applied.
    lease.nextCheckAt = changes.length > before ? now : nextCheck(lease, now);
  }
}

/** The earliest time at which a lease may have expired or an unsent start may be overdue. */
function nextCheck(lease: VmLease, now: number): number {
  let next = Infinity;
  for (const run of lease.runs.values()) {
    next = Math.min(
      next,
      cannotHaveStarted(run) ? now + RECHECK_INTERVAL_MS : run.expiresAt,
    );
  }
  return next;
}

/** Removes the leases of runs that are no longer placed on the VM. */
function removeStaleLeases(lease: VmLease, jobs: Map<string, Job>): void {
  if (lease.runs.size <= jobs.size) {
    return;
  }
  const current = new Set([...jobs.values()].map((job) => job.run?.id));
  for (const run of lease.runs.keys()) {
    if (!current.has(run)) {
      lease.runs.delete(run);
    }
  }
}

interface TrackedRun {
  job: Job;
  run: Run;
  lease: VmLease;
  report?: RunReport;
}

function reconcileRun(context: ReconcileContext, tracked: TrackedRun): void {
  const { job, run, lease, report } = tracked;
  let runLease = lease.runs.get(run.id);
  if (runLease === undefined) {
    runLease = emptyRunLease(context.initialExpiry);
    lease.runs.set(run.id, runLease);
  }
  if (report?.phase === "ended") {
    context.changes.push(endChange(job, run, report));
    return;
  }
  runLease.closed ||= isOver(context, tracked, runLease);
  if (runLease.closed) {
    const outcome = cannotHaveStarted(runLease) ? "stopped" : "lost";
    context.changes.push({ type: "end", job: job.id, run: run.id, outcome });
  } else if (report !== undefined) {
    runLease.reported = true;
    if (report.runtimeMs >= WARM_UP_MS) {
      context.estimator.observeMemory(kindKey(job), report.peakMb);
    }
    recordCheckpoint(context, tracked);
  }
}

function recordCheckpoint(
  { changes }: ReconcileContext,
  { job, run, report }: TrackedRun,
): void {
  const checkpoint = report?.checkpoint;
  if (checkpoint !== undefined && checkpoint !== job.checkpoint) {
    changes.push({ type: "checkpoint", job: job.id, run: run.id, checkpoint });
  }
}

function endChange(job: Job, run: Run, report: RunReport): JobChange {
  return {
    type: "end",
    job: job.id,
    run: run.id,
    outcome: report.outcome ?? "stopped",
    memoryMb: report.peakMb,
    millicores: report.millicores,
    runtimeMs: report.runtimeMs,
    checkpoint: report.checkpoint,
  };
}

/** Whether the run has certainly ended, or can never have started and is not to start any more. */
function isOver(
  { now, at }: ReconcileContext,
  { job, run, lease, report }: TrackedRun,
  runLease: RunLease,
): boolean {
  if (cannotHaveStarted(runLease)) {
    return run.want !== "run" ||
      isStartOverdue({ now, at }, job, { run, lease });
  }
  if (now > runLease.expiresAt) {
    const unanswered = !runLease.reported &&
      lease.reportedAt < runLease.startSentAt;
    lease.suspect ||= unanswered;
    return true;
  }
  return report === undefined && hasAgentRestarted(lease, run.incarnation);
}

/** Whether the start of a placed run has waited too long to be sent to its VM. */
function isStartOverdue(
  { now, at }: { now: number; at: number },
  job: Job,
  { run, lease }: { run: Run; lease: VmLease },
): boolean {
  const silentMs = now - lease.reportedAt;
  const waitedMs = at - run.at;
  if (job.priority !== "urgent") {
    return lease.suspect || silentMs > STALE_REPORT_MS ||
      waitedMs > START_TIMEOUT_MS;
  }
  // Reports are requested at the shortest interval while the run waits, so a short silence means that the VM is lost.
  lease.suspect ||= Math.min(silentMs, waitedMs) > URGENT_SILENCE_TIMEOUT_MS;
  return lease.suspect || waitedMs > URGENT_START_TIMEOUT_MS;
}

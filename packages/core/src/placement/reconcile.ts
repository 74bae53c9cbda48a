/**
 * Reads reports and leases: which runs have ended, which have checkpoints, which are surely gone.
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
import type { SizeEstimator } from "./size_estimator.ts";
import { WARM_UP_MS } from "./vm_capacity.ts";
import type { RunReport } from "./operation.ts";

/** A run that no agent was asked to start within this time is placed again. */
const START_TIMEOUT_MS = 10_000;
const URGENT_START_TIMEOUT_MS = 2_000;
/** A VM that is silent for this long while an urgent run waits for it counts as lost. */
const URGENT_SILENCE_TIMEOUT_MS = 1_200;
const RECHECK_INTERVAL_MS = 500;

/** What is read in one pass. */
export interface ReconcileContext {
  index: JobIndex;
  leases: Map<string, VmLease>;
  now: number;
  at: number;
  /** VMs whose runs or reports changed. */
  changedVms: ReadonlySet<string>;
  /** Lease bound of runs that this leader has not seen before. */
  initialExpiry?: number;
  estimator: SizeEstimator;
  changes: JobChange[];
}

/** Adds a change for each run that ended or has a new checkpoint. */
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
    dropStaleLeases(lease, jobs);
    // What was decided is decided again until it is applied.
    lease.nextCheckAt = changes.length > before ? now : nextCheck(lease, now);
  }
}

/** When the first lease may have run out, or the first run has waited too long to be sent. */
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

/** Forgets leases of runs that the VM no longer has. */
function dropStaleLeases(lease: VmLease, jobs: Map<string, Job>): void {
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

function reconcileRun(context: ReconcileContext, view: TrackedRun): void {
  const { job, run, lease, report } = view;
  let runLease = lease.runs.get(run.id);
  if (runLease === undefined) {
    runLease = emptyRunLease(context.initialExpiry);
    lease.runs.set(run.id, runLease);
  }
  if (report?.phase === "ended") {
    context.changes.push(endChange(job, run, report));
    return;
  }
  runLease.closed ||= isOver(context, view, runLease);
  if (runLease.closed) {
    const outcome = cannotHaveStarted(runLease) ? "stopped" : "lost";
    context.changes.push({ type: "end", job: job.id, run: run.id, outcome });
  } else if (report !== undefined) {
    runLease.reported = true;
    if (report.runtimeMs >= WARM_UP_MS) {
      context.estimator.observeMemory(kindKey(job), report.peakMb);
    }
    recordCheckpoint(context, view);
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

/** Whether the run has surely ended or can never have started. */
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

/** Whether a placed run has waited too long to be sent to its VM. */
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
  // The VM is asked all the time while the run waits, so that a short silence tells that it is lost.
  lease.suspect ||= Math.min(silentMs, waitedMs) > URGENT_SILENCE_TIMEOUT_MS;
  return lease.suspect || waitedMs > URGENT_START_TIMEOUT_MS;
}

/**
 * Reads reports and leases: which runs have ended, which have checkpoints, which are surely gone.
 *
 * @module
 */
import { type Job, type JobChange, kindKey, type Run } from "./job.ts";
import type { JobIndex } from "./job_index.ts";
import {
  emptyLease,
  emptyRunLease,
  neverSent,
  type RunLease,
  STALE_MS,
  startedAnew,
  type VmLease,
} from "./lease.ts";
import type { Sizing } from "./learning.ts";
import { SETTLED_MS } from "./room.ts";
import type { RunReport } from "./operation.ts";

/** A run that no agent was asked to start within this time is placed again. */
const UNSENT_MS = 10_000;
const URGENT_UNSENT_MS = 2_000;
/** A VM that is silent for this long while an urgent run waits for it counts as lost. */
const URGENT_SILENT_MS = 1_200;
const RECHECK_MS = 500;

/** What is read in one pass. */
export interface Absorbing {
  index: JobIndex;
  leases: Map<string, VmLease>;
  now: number;
  at: number;
  /** VMs whose runs or reports changed. */
  touched: ReadonlySet<string>;
  /** Lease bound of runs that this leader has not seen before. */
  firstBound?: number;
  sizing: Sizing;
  changes: JobChange[];
}

/** Adds a change for each run that ended or has a new checkpoint. */
export function absorbReports(absorbing: Absorbing): void {
  const { index, leases, touched, now, changes } = absorbing;
  for (const [vm, jobs] of index.byVm) {
    const lease = leases.get(vm) ?? emptyLease();
    leases.set(vm, lease);
    if (!touched.has(vm) && now < lease.checkAt) {
      continue;
    }
    const before = changes.length;
    for (const job of jobs.values()) {
      if (job.run !== undefined) {
        const report = lease.reports.get(job.run.id);
        absorbRun(absorbing, { job, run: job.run, lease, report });
      }
    }
    dropRuns(lease, jobs);
    // What was decided is decided again until it is applied.
    lease.checkAt = changes.length > before ? now : nextCheck(lease, now);
  }
}

/** When the first lease may have run out, or the first run has waited too long to be sent. */
function nextCheck(lease: VmLease, now: number): number {
  let next = Infinity;
  for (const run of lease.runs.values()) {
    next = Math.min(next, neverSent(run) ? now + RECHECK_MS : run.bound);
  }
  return next;
}

/** Forgets leases of runs that the VM no longer has. */
function dropRuns(lease: VmLease, jobs: Map<string, Job>): void {
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

interface RunView {
  job: Job;
  run: Run;
  lease: VmLease;
  report?: RunReport;
}

function absorbRun(absorbing: Absorbing, view: RunView): void {
  const { job, run, lease, report } = view;
  let held = lease.runs.get(run.id);
  if (held === undefined) {
    held = emptyRunLease(absorbing.firstBound);
    lease.runs.set(run.id, held);
  }
  if (report?.phase === "ended") {
    absorbing.changes.push(endOf(job, run, report));
    return;
  }
  held.closed ||= isGone(absorbing, view, held);
  if (held.closed) {
    const outcome = neverSent(held) ? "stopped" : "lost";
    absorbing.changes.push({ type: "end", job: job.id, run: run.id, outcome });
  } else if (report !== undefined) {
    held.seen = true;
    if (report.runtimeMs >= SETTLED_MS) {
      absorbing.sizing.observe(kindKey(job), report.peakMb);
    }
    noteCheckpoint(absorbing, view);
  }
}

function noteCheckpoint(
  { changes }: Absorbing,
  { job, run, report }: RunView,
): void {
  const checkpoint = report?.checkpoint;
  if (checkpoint !== undefined && checkpoint !== job.checkpoint) {
    changes.push({ type: "checkpoint", job: job.id, run: run.id, checkpoint });
  }
}

function endOf(job: Job, run: Run, report: RunReport): JobChange {
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
function isGone(
  { now, at }: Absorbing,
  { job, run, lease, report }: RunView,
  held: RunLease,
): boolean {
  if (neverSent(held)) {
    return run.want !== "run" || isStuck({ now, at }, job, { run, lease });
  }
  if (now > held.bound) {
    const unanswered = !held.seen && lease.reportedAt < held.sentAt;
    lease.suspect ||= unanswered;
    return true;
  }
  return report === undefined && startedAnew(lease, run.incarnation);
}

/** Whether a placed run has waited too long to be sent to its VM. */
function isStuck(
  { now, at }: { now: number; at: number },
  job: Job,
  { run, lease }: { run: Run; lease: VmLease },
): boolean {
  const silentMs = now - lease.reportedAt;
  const waitedMs = at - run.at;
  if (job.priority !== "urgent") {
    return lease.suspect || silentMs > STALE_MS || waitedMs > UNSENT_MS;
  }
  // The VM is asked all the time while the run waits, so that a short silence tells that it is lost.
  lease.suspect ||= Math.min(silentMs, waitedMs) > URGENT_SILENT_MS;
  return lease.suspect || waitedMs > URGENT_UNSENT_MS;
}

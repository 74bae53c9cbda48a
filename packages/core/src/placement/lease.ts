/**
 * Leases of runs. An agent ends a run when its own monotonic clock passes the lease; the leader counts from when the
 * report with that clock arrived and waits longer by a drift margin, after Gray and Cheriton, "Leases" (SOSP 1989).
 * The end of a lease is a fixed time on the agent's clock, so a delayed or repeated renewal extends nothing.
 *
 * @module
 */
import type { Priority } from "../names.ts";
import type { AgentReport, RunReport } from "./operation.ts";

/** Length of a lease; runs outlive a leader that is lost for most of it. */
export const LEASE_MS = 30_000;
/** Length of the first lease of an urgent job's first run. */
const URGENT_FIRST_LEASE_MS = 1_500;
/** Interval at which a lease is renewed. */
export const RENEW_INTERVAL_MS = 5_000;
/** How long an agent holds back its answer to a renewal while no run ends. */
export const LONG_POLL_MS = 4_000;
/** Interval at which a VM is asked that has not reported in this term. */
export const FIRST_RENEW_INTERVAL_MS = 1_000;
/** Interval at which a VM is asked while a run on it starts or leaves. */
export const BUSY_RENEW_INTERVAL_MS = 250;
/** A VM that has not reported for this long gets no new work. */
export const STALE_REPORT_MS = 12_000;
/** Relative difference in rate between two clocks. */
const CLOCK_DRIFT = 0.01;
const CLOCK_MARGIN_MS = 100;
/** How long a deposed leader may renew leases after its successor was elected. */
const MAX_LEADER_OVERLAP_MS = 3_000;
const START_RETRY_INTERVAL_MS = 400;

/** What the leader of one term knows about a run on a VM. */
export interface RunLease {
  /** Leader's time after which the run has surely ended. */
  expiresAt: number;
  /** End of the first lease on the agent's clock, when a start was sent. */
  firstLeaseEnd?: number;
  startSentAt: number;
  /** The run has surely ended, and nothing may be sent for it any more. */
  closed: boolean;
  /** Whether this leader has renewed the lease. */
  renewed: boolean;
  /** Whether a report listed the run. */
  reported: boolean;
  /** Times at which operations on the run were first and last sent, by operation id. */
  operations: Map<string, { first: number; last: number }>;
}

/** The last report of a VM and the leases on it. */
export interface VmLease {
  report?: AgentReport;
  /** Leader's time at which the report arrived. */
  reportedAt: number;
  renewalSentAt: number;
  /** Whether the agent may be holding back its answer to the last renewal. */
  longPolling: boolean;
  /** A start was not answered; the VM gets no new work before its next report. */
  suspect: boolean;
  /** When the runs must be looked at again, though nothing was reported. */
  nextCheckAt: number;
  runs: Map<string, RunLease>;
  /** The runs of the last report. */
  reports: Map<string, RunReport>;
}

/** A VM that has not reported in this term. */
export function emptyLease(): VmLease {
  return {
    reportedAt: -Infinity,
    renewalSentAt: -Infinity,
    longPolling: false,
    suspect: false,
    nextCheckAt: -Infinity,
    runs: new Map(),
    reports: new Map(),
  };
}

/** A run to which this leader has sent nothing yet. */
export function emptyRunLease(expiresAt = -Infinity): RunLease {
  return {
    expiresAt,
    startSentAt: -Infinity,
    closed: false,
    renewed: false,
    reported: false,
    operations: new Map(),
  };
}

/** Whether no leader can have started the run. */
export function cannotHaveStarted(run: RunLease): boolean {
  return run.expiresAt === -Infinity;
}

/** The time after which every run that an earlier leader renewed has surely ended. */
export function takeoverExpiry(since: number): number {
  return since + MAX_LEADER_OVERLAP_MS + LEASE_MS * (1 + CLOCK_DRIFT) +
    CLOCK_MARGIN_MS;
}

/** Accepts a report unless it is older than the known one or answers another term. */
export function acceptReport(
  lease: VmLease,
  report: AgentReport,
  { now, term }: { now: number; term: number },
): boolean {
  const known = lease.report;
  if (report.term !== term) {
    return false;
  }
  if (known !== undefined && !isNewer(report, known)) {
    return false;
  }
  lease.report = report;
  lease.reports = new Map(report.runs.map((run) => [run.run, run]));
  lease.reportedAt = now;
  lease.suspect = false;
  lease.longPolling = false;
  return true;
}

function isNewer(report: AgentReport, known: AgentReport): boolean {
  return report.incarnation > known.incarnation ||
    (report.incarnation === known.incarnation &&
      report.sequence > known.sequence);
}

/** The new end of the leases on the agent's clock, for a renewal that builds on the last report. */
export function renewedLeaseEnd(report: AgentReport): number {
  return report.clock + LEASE_MS;
}

/** Notes that the run's lease may be extended by a renewal. */
export function recordRenewal(lease: VmLease, run: RunLease): void {
  const expiresAt = lease.reportedAt + LEASE_MS * (1 + CLOCK_DRIFT) +
    CLOCK_MARGIN_MS;
  run.expiresAt = Math.max(run.expiresAt, expiresAt);
  run.renewed = true;
}

/**
 * Length of the first lease of a run. It is short for urgent jobs, so that an agent that does not answer costs little,
 * and doubles with each run, so that slow links delay a job but do not keep it from running.
 */
export function firstLeaseMs(priority: Priority, runs: number): number {
  return priority === "urgent"
    ? Math.min(LEASE_MS, URGENT_FIRST_LEASE_MS * 2 ** (runs - 1))
    : LEASE_MS;
}

/** Notes that a start is sent; the end of the first lease stays the same for each resend. */
export function recordStart(
  lease: VmLease,
  run: RunLease,
  { now, lengthMs }: { now: number; lengthMs: number },
): number {
  const ageMs = now - lease.reportedAt;
  if (run.firstLeaseEnd === undefined) {
    run.firstLeaseEnd = (lease.report?.clock ?? 0) + ageMs + lengthMs;
    const expiresAt = lease.reportedAt +
      (ageMs + lengthMs) * (1 + CLOCK_DRIFT) + CLOCK_MARGIN_MS;
    run.expiresAt = Math.max(run.expiresAt, expiresAt);
  }
  run.startSentAt = now;
  return run.firstLeaseEnd;
}

/** Whether a start may be sent to the incarnation that the run is meant for, for the first time or again. */
export function startDue(
  lease: VmLease,
  run: RunLease,
  { incarnation, now }: { incarnation: number; now: number },
): boolean {
  const { report } = lease;
  if (
    report?.incarnation !== incarnation ||
    now - lease.reportedAt > STALE_REPORT_MS
  ) {
    return false;
  }
  return run.firstLeaseEnd === undefined ||
    (now - run.startSentAt >= START_RETRY_INTERVAL_MS && now < run.expiresAt);
}

/**
 * Whether the VM's agent started anew since the run was placed. The run has ended with the earlier incarnation, and the
 * present one refuses its start.
 */
export function hasAgentRestarted(
  lease: VmLease,
  incarnation: number,
): boolean {
  return lease.report !== undefined &&
    lease.report.incarnation > incarnation;
}

/**
 * Leases of runs. An agent ends a run when its own monotonic clock passes the end of the lease. The leader measures
 * from the arrival of the report with that clock and adds a margin for clock drift, after Gray and Cheriton, "Leases"
 * (SOSP 1989). The end of a lease is a fixed time on the agent's clock, so a delayed or repeated renewal extends
 * nothing.
 *
 * @module
 */
import type { Priority } from "../names.ts";
import type { AgentReport, RunReport } from "./operation.ts";

/** Length of a lease; runs survive the absence of a leader for most of it. */
export const LEASE_MS = 30_000;
/** Length of the first lease of an urgent job's first run. */
const URGENT_FIRST_LEASE_MS = 1_500;
/** Longest interval between two renewals. */
export const RENEW_INTERVAL_MS = 5_000;
/** How long an agent delays its answer to a renewal while no run ends (long polling). */
export const LONG_POLL_MS = 4_000;
/** Interval between renewals to a VM that has not reported in this term. */
export const FIRST_RENEW_INTERVAL_MS = 1_000;
/** Shortest interval between two renewals, used while a run on the VM starts or is being evicted. */
export const BUSY_RENEW_INTERVAL_MS = 250;
/** A VM that has not reported for this long gets no new runs. */
export const STALE_REPORT_MS = 12_000;
/** Largest relative difference in rate between two clocks. */
const CLOCK_DRIFT = 0.01;
const CLOCK_MARGIN_MS = 100;
/** How long a deposed leader may renew leases after its successor was elected. */
const MAX_LEADER_OVERLAP_MS = 3_000;
const START_RETRY_INTERVAL_MS = 400;

/** What the leader of one term knows about a run on a VM. */
export interface RunLease {
  /** Time on the leader's clock after which the run has certainly ended; -Infinity while it cannot have started. */
  expiresAt: number;
  /** End of the first lease on the agent's clock; set when a start was sent. */
  firstLeaseEnd?: number;
  startSentAt: number;
  /** The run has certainly ended, and no operation may be sent for it any more. */
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
  /** Time on the leader's clock at which the report arrived. */
  reportedAt: number;
  renewalSentAt: number;
  /** Whether the agent may be delaying its answer to the last renewal. */
  longPolling: boolean;
  /** The VM did not answer a start or is silent; it gets no new runs before its next report. */
  suspect: boolean;
  /** Time at which the runs must be checked again even without a new report. */
  nextCheckAt: number;
  runs: Map<string, RunLease>;
  /** The runs of the last report. */
  reports: Map<string, RunReport>;
}

/** Leases of a VM that has not reported in this term. */
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

/** Lease of a run for which this leader has sent nothing yet. */
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

/** Time on this leader's clock after which every run that an earlier leader renewed has certainly ended. */
export function takeoverExpiry(since: number): number {
  return since + MAX_LEADER_OVERLAP_MS + LEASE_MS * (1 + CLOCK_DRIFT) +
    CLOCK_MARGIN_MS;
}

/** Accepts a report unless it is older than the last one or from another term. */
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

/** New end of the leases on the agent's clock, for a renewal that is based on this report. */
export function renewedLeaseEnd(report: AgentReport): number {
  return report.clock + LEASE_MS;
}

/** Records that a renewal may extend the run's lease. */
export function recordRenewal(lease: VmLease, run: RunLease): void {
  const expiresAt = lease.reportedAt + LEASE_MS * (1 + CLOCK_DRIFT) +
    CLOCK_MARGIN_MS;
  run.expiresAt = Math.max(run.expiresAt, expiresAt);
  run.renewed = true;
}

/**
 * Length of the first lease of a run. It is short for urgent jobs, so that an agent that does not answer delays them
 * little, and doubles with each run, so that slow links delay a job but do not prevent it from running.
 */
export function firstLeaseMs(priority: Priority, runs: number): number {
  return priority === "urgent"
    ? Math.min(LEASE_MS, URGENT_FIRST_LEASE_MS * 2 ** (runs - 1))
    : LEASE_MS;
}

/** Records that a start is sent and returns the end of the first lease, which is the same for each retry. */
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

/** Whether a start may be sent or retried; only the incarnation for which the run was placed may get it. */
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
 * Whether the VM's agent has restarted since the run was placed. The run ended with the earlier incarnation, and the
 * current one refuses its start.
 */
export function hasAgentRestarted(
  lease: VmLease,
  incarnation: number,
): boolean {
  return lease.report !== undefined &&
    lease.report.incarnation > incarnation;
}

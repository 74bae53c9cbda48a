/**
 * Distinguishes faulty VMs from faulty jobs. Failures count against a VM only when they come from distinct jobs whose
 * kind is not itself failing on other VMs.
 *
 * @module
 */
import { type Job, type Jobs, kindKey, type VmHealth } from "./job.ts";
import { emptyEstimate } from "./size_estimator.ts";

const MAX_RECENT_RUNS = 6;
/** Consecutive failures of distinct jobs after which a VM is quarantined. */
export const QUARANTINE_FAILURES = 3;
/** Healthy VMs on which a job must fail before it counts as faulty. */
const FAULTY_JOB_VMS = 3;
/** Failures after which a job counts as faulty, whatever the health of its VMs. */
const MAX_FAILURES = 6;
const MAX_FAILING_VMS = 8;
/** Other VMs on which a kind must be failing before its failures stop counting against VMs. */
const FAULTY_KIND_VMS = 2;
const FIRST_PROBE_DELAY_MS = 60_000;
const MAX_PROBE_DELAY_MS = 3_600_000;

/** Health of a VM on which no run has ended. */
export function emptyHealth(): VmHealth {
  return { recent: [], phase: "healthy", strikes: 0, at: 0 };
}

/** Records that a run completed; a VM that is quarantined or probing is healthy again. */
export function recordDone(jobs: Jobs, job: Job, vm: string, at: number): void {
  const estimate = jobs.estimates[kindKey(job)] ??= emptyEstimate();
  estimate.failing = [];
  const health = jobs.health[vm] ??= emptyHealth();
  if (health.phase !== "healthy") {
    jobs.health[vm] = { ...emptyHealth(), at };
    return;
  }
  recordResult(health, job, true);
}

/** Records that a run failed, as opposed to being stopped, killed for memory or lost. */
export function recordFailure(
  jobs: Jobs,
  job: Job,
  vm: string,
  at: number,
): void {
  const estimate = jobs.estimates[kindKey(job)] ??= emptyEstimate();
  if (!estimate.failing.includes(vm)) {
    estimate.failing = [...estimate.failing, vm].slice(-MAX_FAILING_VMS);
  }
  const others = estimate.failing.filter((name) => name !== vm).length;
  if (others >= FAULTY_KIND_VMS) {
    clearFailuresOfKind(jobs, kindKey(job));
    return;
  }
  const health = jobs.health[vm] ??= emptyHealth();
  if (health.phase === "probing") {
    health.phase = "quarantined";
    health.strikes += 1;
    health.at = at;
    return;
  }
  recordResult(health, job, false);
}

/**
 * Removes the failures of a kind from the health of all VMs: a kind that fails on several VMs says nothing about them.
 */
function clearFailuresOfKind(jobs: Jobs, kind: string): void {
  for (const health of Object.values(jobs.health)) {
    const recent = health.recent.filter((entry) =>
      entry.done || entry.kind !== kind
    );
    if (recent.length === health.recent.length) {
      continue;
    }
    health.recent = recent;
    if (health.phase !== "healthy" && !failsAllRuns(jobs, health)) {
      health.phase = "healthy";
      health.strikes = 0;
    }
  }
}

function recordResult(health: VmHealth, job: Job, done: boolean): void {
  const entry = { job: job.id, kind: kindKey(job), done };
  health.recent = [...health.recent, entry].slice(-MAX_RECENT_RUNS);
}

/** Whether the VM's last runs all failed, with enough distinct jobs to attribute the failures to the VM. */
export function failsAllRuns(jobs: Jobs, health: VmHealth): boolean {
  const last = health.recent.slice(-QUARANTINE_FAILURES);
  if (last.length < QUARANTINE_FAILURES || last.some((entry) => entry.done)) {
    return false;
  }
  const distinct = new Set(last.map((entry) => entry.job));
  if (distinct.size < QUARANTINE_FAILURES) {
    return false;
  }
  const kinds = new Set(last.map((entry) => entry.kind));
  return kinds.size > 1 ||
    last.every((entry) => hasSucceeded(jobs, entry.kind));
}

function hasSucceeded(jobs: Jobs, kind: string): boolean {
  return (jobs.estimates[kind]?.memoryMb.length ?? 0) > 0;
}

/** Whether the job failed on enough healthy VMs, or often enough, to count as faulty. */
export function isFaultyJob(jobs: Jobs, job: Job): boolean {
  if (job.failures >= MAX_FAILURES) {
    return true;
  }
  const healthy = job.failedOn.filter((vm) =>
    succeedsForOthers(jobs, vm, job.id)
  );
  return healthy.length >= FAULTY_JOB_VMS;
}

function succeedsForOthers(jobs: Jobs, vm: string, job: string): boolean {
  const health = jobs.health[vm];
  if (health === undefined) {
    return true;
  }
  if (health.phase !== "healthy") {
    return false;
  }
  const others = health.recent.filter((entry) => entry.job !== job);
  return others.length === 0 || others.some((entry) => entry.done);
}

/** Whether a quarantined VM is due for a probe with one job. The delay doubles with each failed probe. */
export function isProbeDue(health: VmHealth, at: number): boolean {
  const waitMs = FIRST_PROBE_DELAY_MS * 2 ** Math.min(health.strikes, 10);
  return health.phase === "quarantined" &&
    at - health.at >= Math.min(waitMs, MAX_PROBE_DELAY_MS);
}

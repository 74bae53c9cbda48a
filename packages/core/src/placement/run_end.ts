/**
 * Applies the end of a run: its job ends or waits for another run.
 *
 * @module
 */
import { isFaultyJob, recordDone, recordFailure } from "./health.ts";
import type { Job, JobChange, Jobs, Run } from "./job.ts";
import { countRun, endJob, recordChange } from "./record.ts";
import { subtractSize } from "./size.ts";
import { recordUsage } from "./size_estimator.ts";

type RunEnd = Extract<JobChange, { type: "end" }>;

/** The next run of a job that was killed for memory reserves at least this multiple of what the killed run used. */
const OUT_OF_MEMORY_GROWTH = 2;
const EVICTED_MEMORY_MARGIN = 1.5;

/** Ends the run and updates its job; false when it is not the current run of the job. */
export function endRun(jobs: Jobs, end: RunEnd, at: number): boolean {
  const job = jobs.active[end.job];
  const run = job?.run;
  if (job === undefined || run === undefined || run.id !== end.run) {
    return false;
  }
  releaseRun(jobs, job, run);
  const next: Job = { ...job, phase: "waiting", run: undefined };
  next.checkpoint = end.checkpoint ?? job.checkpoint;
  jobs.active[job.id] = next;
  recordChange(jobs, job.id);
  applyOutcome(jobs, next, { run, end, at });
  return true;
}

function releaseRun(jobs: Jobs, job: Job, run: Run): void {
  const held = jobs.held[job.team];
  if (held !== undefined) {
    subtractSize(held, run.size);
  }
  countRun(jobs, run.vm, -1);
}

interface EndedRun {
  run: Run;
  end: RunEnd;
  at: number;
}

function applyOutcome(jobs: Jobs, job: Job, { run, end, at }: EndedRun): void {
  if (end.outcome === "done") {
    recordUsage(jobs, job, end);
    recordDone(jobs, job, run.vm, at);
    endJob(jobs, job, { end: "done", at });
    return;
  }
  if (end.outcome === "failed") {
    recordFailure(jobs, job, run.vm, at);
    job.failures += 1;
    job.failedOn = [...job.failedOn.filter((vm) => vm !== run.vm), run.vm];
  }
  if (run.cause === "cancel") {
    endJob(jobs, job, { end: "cancelled", at });
    return;
  }
  if (end.outcome === "out of memory") {
    const usedMb = end.memoryMb ?? run.size.memoryMb;
    job.killedMb = Math.max(job.killedMb, usedMb);
    job.floorMb = Math.max(
      job.floorMb,
      Math.ceil(usedMb * OUT_OF_MEMORY_GROWTH),
    );
  }
  if (end.outcome === "failed" && isFaultyJob(jobs, job)) {
    const vms = job.failedOn.join(", ");
    const reason = `The job failed ${job.failures} times, on ${vms}`;
    endJob(jobs, job, { end: "failed", reason, at });
    return;
  }
  if (isInterrupted(end.outcome) && !job.restartable) {
    const reason =
      `The run on ${run.vm} was ${end.outcome} and the job must not start again`;
    endJob(jobs, job, { end: "failed", reason, at });
    return;
  }
  countMove(jobs, job, { run, end, at });
}

function isInterrupted(outcome: RunEnd["outcome"]): boolean {
  return outcome === "lost" || outcome === "expired";
}

function countMove(jobs: Jobs, job: Job, { run, end }: EndedRun): void {
  const cause = run.cause ?? end.outcome;
  jobs.moves[cause] = (jobs.moves[cause] ?? 0) + 1;
  job.moves += 1;
  if (run.cause === "pressure" && end.memoryMb !== undefined) {
    job.floorMb = Math.max(
      job.floorMb,
      Math.ceil(end.memoryMb * EVICTED_MEMORY_MARGIN),
    );
  }
}

/**
 * Adds submitted jobs to the replicated state.
 *
 * @module
 */
import type { State } from "../state.ts";
import { digestOf } from "./digest.ts";
import { infeasibleReason, poolLimits, quotasOf } from "./feasibility.ts";
import type { EndedJob, Job, JobReply, Jobs, SubmittedJob } from "./job.ts";
import { endJob, recordChange } from "./record.ts";
import { SizeEstimator } from "./size_estimator.ts";

/** Adds new jobs, refuses those that can never run, and answers repeated submissions with the current state. */
export function submitJobs(
  state: State,
  batch: SubmittedJob[],
  at: number,
): JobReply[] {
  const limits = poolLimits(state);
  const quotas = quotasOf(state);
  const estimator = new SizeEstimator(state.jobs);
  return batch.map((submission) => {
    const known = existingReply(state.jobs, submission);
    if (known !== undefined) {
      return known;
    }
    const job = newJob(submission, at);
    state.jobs.active[job.id] = job;
    recordChange(state.jobs, job.id);
    const reason = infeasibleReason(job, { limits, quotas, estimator });
    if (reason !== undefined) {
      endJob(state.jobs, job, { end: "refused", reason, at });
      return { id: job.id, state: "refused", reason };
    }
    return { id: job.id, state: "waiting" };
  });
}

function newJob(submission: SubmittedJob, at: number): Job {
  return {
    ...submission,
    phase: "waiting",
    submittedAt: at,
    runs: 0,
    floorMb: 0,
    killedMb: 0,
    failedOn: [],
    failures: 0,
    moves: 0,
  };
}

function existingReply(
  jobs: Jobs,
  submission: SubmittedJob,
): JobReply | undefined {
  const digest = digestOf(submission);
  const active = jobs.active[submission.id];
  if (active !== undefined) {
    return digestOf(active) === digest
      ? { id: active.id, state: active.phase }
      : conflict(submission.id);
  }
  const ended = jobs.ended[submission.id];
  if (ended === undefined) {
    return undefined;
  }
  return ended.digest === digest
    ? endedReply(submission.id, ended)
    : conflict(submission.id);
}

function conflict(id: string): JobReply {
  return {
    id,
    state: "conflict",
    reason: "Another job was submitted under this id",
  };
}

/** Reply to a repeated submission or a cancellation of an ended job. */
export function endedReply(id: string, ended: EndedJob): JobReply {
  return { id, state: ended.end, reason: ended.reason };
}

/**
 * Requests and answers of the administration API for jobs.
 *
 * @module
 */
import { z } from "zod";
import type { JobView } from "../admin_api.ts";
import {
  type EndedJob,
  type Job,
  JobId,
  JobMatch,
  type Jobs,
  matchesJob,
  MAX_CANCELLED,
  SubmittedJob,
} from "./job.ts";

/** Maximum jobs in one submission. */
const MAX_SUBMITTED = 5_000;
/** Maximum jobs in one answer. */
const MAX_LISTED = 1_000;

/** Body of `POST /v1/jobs`. A repeated submission of the same jobs gets their current state. */
export const JobSubmission = z.strictObject({
  jobs: z.array(SubmittedJob).min(1).max(MAX_SUBMITTED),
});
export type JobSubmission = z.infer<typeof JobSubmission>;

/** Body of `POST /v1/jobs/cancel`: the named jobs, or every active job that matches. */
export const JobCancellation = z.strictObject({
  jobs: z.array(JobId).max(MAX_CANCELLED).optional(),
  matching: JobMatch.optional(),
}).refine(
  ({ jobs, matching }) => (jobs === undefined) !== (matching === undefined),
  "must have either jobs or matching",
);
export type JobCancellation = z.infer<typeof JobCancellation>;

/** Filter of a listing of jobs. */
export const JobFilter = z.object({
  ...JobMatch.shape,
  state: z.string().optional(),
});
export type JobFilter = z.infer<typeof JobFilter>;

/** The jobs that match; `total` also counts those that the list leaves out. */
export interface JobList {
  jobs: JobView[];
  total: number;
  /** Runs whose job had to start again, by cause. */
  moves: Record<string, number>;
}

/** Lists the jobs that match, active ones first; ended jobs match by team and state alone. */
export function listJobs(jobs: Jobs, filter: JobFilter): JobList {
  const active = Object.values(jobs.active)
    .filter((job) => matchesJob(job, filter))
    .map(activeView);
  const ended = filter.kind === undefined && filter.pool === undefined
    ? Object.entries(jobs.ended).map(([id, job]) => endedView(id, job))
    : [];
  const matching = [...active, ...ended].filter(({ team, state }) =>
    (filter.team ?? team) === team && (filter.state ?? state) === state
  );
  return {
    jobs: matching.slice(0, MAX_LISTED),
    total: matching.length,
    moves: jobs.moves,
  };
}

function activeView({ id, team, pool, priority, phase, run }: Job): JobView {
  const stops = run !== undefined && run.want !== "run";
  return {
    id,
    team,
    pool,
    priority,
    state: stops ? "stopping" : phase,
    vm: run?.vm,
    reason: run?.cause,
  };
}

function endedView(id: string, { team, end, reason }: EndedJob): JobView {
  return { id, team, state: end, reason };
}

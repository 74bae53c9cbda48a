/**
 * Schemas of jobs, their runs under leases, and the commands that change them.
 *
 * @module
 */
import { z } from "zod";
import { DurationMs, Name, Priority } from "../names.ts";
import { Size } from "./size.ts";

/** Id of a job. It starts with a letter, because records do not keep the order of insertion of integer keys. */
export const JobId = z.string().regex(
  /^[a-zA-Z][a-zA-Z0-9._:-]{0,127}$/,
  "must be 1 to 128 letters, digits, '.', '_', ':' or '-', and start with a letter",
);
export type JobId = z.infer<typeof JobId>;

/** A job as a team submits it. Sizes and run time are the team's estimates. */
export const SubmittedJob = z.strictObject({
  id: JobId,
  team: Name,
  kind: Name,
  pool: Name,
  priority: Priority.default("live"),
  cores: z.number().positive().max(10_000),
  memoryGb: z.number().positive().max(100_000),
  accelerators: z.number().int().nonnegative().default(0),
  runtimeMs: DurationMs,
  /** Wall-clock time by which the job must have ended, in milliseconds. */
  deadline: z.number().optional(),
  /** Whether the job may start again after a run was lost. */
  restartable: z.boolean().default(true),
  /** What the agent runs; passed on unchanged. */
  task: z.string().max(4_096).default(""),
});
export type SubmittedJob = z.infer<typeof SubmittedJob>;

/** Why a run is stopped or evicted before it completes. */
export const StopCause = z.enum([
  "cancel",
  "drain",
  "pressure",
  "urgent",
  "live",
  "unstarted",
]);
export type StopCause = z.infer<typeof StopCause>;

/** One run of a job on a VM. No second run of the job exists until this one is removed. */
export const Run = z.object({
  id: z.string(),
  vm: Name,
  /** Incarnation of the VM's agent for which the run was placed; no other starts it. */
  incarnation: z.number().int(),
  size: Size,
  /** Wall-clock time of the placement, in milliseconds. */
  at: z.number(),
  want: z.enum(["run", "checkpoint", "stop"]),
  cause: StopCause.optional(),
});
export type Run = z.infer<typeof Run>;

export const Job = SubmittedJob.extend({
  phase: z.enum(["waiting", "placed"]),
  submittedAt: z.number(),
  /** Number of runs so far; the id of a run contains its number. */
  runs: z.number().int(),
  run: Run.optional(),
  /** Minimum memory of the next run, after runs that were killed for memory or evicted under memory pressure. */
  floorMb: z.number().int(),
  /** Largest memory of a run of the job when it was killed for memory. */
  killedMb: z.number().int(),
  checkpoint: z.string().optional(),
  /** VMs on which the job failed. */
  failedOn: z.array(Name),
  failures: z.number().int(),
  moves: z.number().int(),
});
export type Job = z.infer<typeof Job>;

/** How a job ended. `refused` jobs can never run. */
export const JobEnd = z.enum(["done", "failed", "cancelled", "refused"]);
export type JobEnd = z.infer<typeof JobEnd>;

/** What is kept of an ended job, to answer repeated submissions and queries. */
export const EndedJob = z.object({
  digest: z.number().int(),
  team: Name,
  end: JobEnd,
  reason: z.string().optional(),
  at: z.number(),
});
export type EndedJob = z.infer<typeof EndedJob>;

/** Recent usage of one team's jobs of one kind. */
export const Estimate = z.object({
  memoryMb: z.array(z.number().int()),
  millicores: z.array(z.number().int()),
  runtimeMs: z.array(z.number().int()),
  /** VMs on which jobs of this kind failed since the last one completed. */
  failing: z.array(Name),
});
export type Estimate = z.infer<typeof Estimate>;

/** Recent ends of runs on one VM and the health that follows from them. */
export const VmHealth = z.object({
  recent: z.array(
    z.object({ job: z.string(), kind: z.string(), done: z.boolean() }),
  ),
  phase: z.enum(["healthy", "quarantined", "probing"]),
  strikes: z.number().int(),
  at: z.number(),
});
export type VmHealth = z.infer<typeof VmHealth>;

/** How a run ended. */
export const RunOutcome = z.enum([
  "done",
  "failed",
  "out of memory",
  "checkpointed",
  "stopped",
  "expired",
  "lost",
]);
export type RunOutcome = z.infer<typeof RunOutcome>;

/** Replicated state of placement. */
export const Jobs = z.object({
  /** Number of applied steps; a step names the number on which it is based. */
  sequence: z.number().int(),
  active: z.record(z.string(), Job),
  ended: z.record(z.string(), EndedJob),
  /** Total size of the runs of each team. */
  held: z.record(z.string(), Size),
  /** Number of runs on each VM that has any. */
  runsOn: z.record(z.string(), z.number().int()),
  /** Estimates by `team/kind`. */
  estimates: z.record(z.string(), Estimate),
  /** Recent ratios of used to declared memory over all jobs, in percent. */
  ratios: z.array(z.number().int()),
  health: z.record(z.string(), VmHealth),
  /** Ids of recently changed jobs; `from` is the position of the first. */
  feed: z.object({ from: z.number().int(), ids: z.array(z.string()) }),
  /** Ended runs whose job had to start again, by cause. */
  moves: z.record(z.string(), z.number().int()),
});
export type Jobs = z.infer<typeof Jobs>;

/** Jobs before the first submission. */
export function emptyJobs(): Jobs {
  return {
    sequence: 0,
    active: {},
    ended: {},
    held: {},
    runsOn: {},
    estimates: {},
    ratios: [],
    health: {},
    feed: { from: 0, ids: [] },
    moves: {},
  };
}

/** One change that a placement pass decided. */
export const JobChange = z.discriminatedUnion("type", [
  z.object({
    type: z.literal("place"),
    job: JobId,
    run: z.string(),
    vm: Name,
    incarnation: z.number().int(),
    size: Size,
  }),
  z.object({
    type: z.literal("want"),
    job: JobId,
    run: z.string(),
    want: z.enum(["checkpoint", "stop"]),
    cause: StopCause,
  }),
  z.object({
    type: z.literal("checkpoint"),
    job: JobId,
    run: z.string(),
    checkpoint: z.string(),
  }),
  z.object({
    type: z.literal("end"),
    job: JobId,
    run: z.string(),
    outcome: RunOutcome,
    memoryMb: z.number().int().optional(),
    millicores: z.number().int().optional(),
    runtimeMs: z.number().int().optional(),
    checkpoint: z.string().optional(),
  }),
  z.object({ type: z.literal("refuse"), job: JobId, reason: z.string() }),
  z.object({
    type: z.literal("health"),
    vm: Name,
    phase: z.enum(["healthy", "quarantined", "probing"]),
  }),
  z.object({ type: z.literal("prune"), before: z.number() }),
]);
export type JobChange = z.infer<typeof JobChange>;

/** Maximum jobs that one cancellation names. */
export const MAX_CANCELLED = 100_000;

/** Filter of active jobs: those that match in every given field. */
export const JobMatch = z.strictObject({
  team: Name.optional(),
  kind: Name.optional(),
  pool: Name.optional(),
});
export type JobMatch = z.infer<typeof JobMatch>;

/** Whether a job matches in every given field. */
export function matchesJob(job: Job, match: JobMatch): boolean {
  return (match.team ?? job.team) === job.team &&
    (match.kind ?? job.kind) === job.kind &&
    (match.pool ?? job.pool) === job.pool;
}

export const JobCommand = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("job.submit"),
    jobs: z.array(SubmittedJob).max(10_000),
    at: z.number(),
  }),
  z.object({
    kind: z.literal("job.cancel"),
    /** The named jobs, or every active job that matches. */
    jobs: z.array(JobId).max(MAX_CANCELLED).optional(),
    matching: JobMatch.optional(),
    at: z.number(),
  }),
  z.object({
    kind: z.literal("job.step"),
    base: z.number().int(),
    changes: z.array(JobChange),
    at: z.number(),
  }),
]);
export type JobCommand = z.infer<typeof JobCommand>;

/** The state of one job as a submission or cancellation reports it. */
export const JobReply = z.object({
  id: JobId,
  state: z.enum([
    "waiting",
    "placed",
    "stopping",
    "unknown",
    "conflict",
    ...JobEnd.options,
  ]),
  reason: z.string().optional(),
});
export type JobReply = z.infer<typeof JobReply>;

/** Output of a job command. */
export const JobOutput = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("jobs"), jobs: z.array(JobReply) }),
  z.object({
    kind: z.literal("stepped"),
    applied: z.number().int(),
    skipped: z.number().int(),
  }),
]);
export type JobOutput = z.infer<typeof JobOutput>;

/** The key of a job's estimate. */
export function kindKey(job: { team: string; kind: string }): string {
  return `${job.team}/${job.kind}`;
}

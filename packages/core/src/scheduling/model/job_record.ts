/**
 * Records of jobs, rounds, tasks and runs in the job store.
 *
 * @module
 */
import type { BatchJobSpec, BatchJobState, StepSpec } from "./batch_job.ts";
import type { SubmittedJob } from "./command.ts";
import type { Indices } from "./index_set.ts";
import type { JobPolicy } from "./queue_plan.ts";
import { StepTasks, type StoredStepTasks } from "./step_tasks.ts";
import type { TaskPosition } from "./task_name.ts";

/** One round: a repetition of all steps of a job. */
export interface RoundRecord {
  /** Tasks by step. */
  tasks: StepTasks[];
  /** Number of steps with unfinished tasks. */
  openSteps: number;
}

/** Why a job failed. */
export interface JobFailure {
  /** `failures`: runs of the task, or of its gang, have failed. `crashes`: workers crashed under the task. */
  cause: "failures" | "crashes";
  task: string;
  /** Number of runs that failed, or of crashes that count. */
  count: number;
}

export interface JobRecord {
  id: string;
  queue: string;
  pool: string;
  /** Undefined for an anonymous job. */
  customer?: string | undefined;
  /** Policy of the queue when the job was accepted. */
  terms: JobPolicy;
  /** Undefined once the job has ended and nothing of it runs. */
  spec: BatchJobSpec | undefined;
  outcome: "open" | "completed" | "failed" | "cancelled";
  /** Undefined for a job that has not failed, or that was stored by an earlier version. */
  failure?: JobFailure | undefined;
  /** Whether any run was placed. */
  hasStarted: boolean;
  acceptedAtMs: number;
  endedAtMs: number | undefined;
  /** Rounds that have begun and have unfinished tasks or active runs. */
  rounds: Record<number, RoundRecord>;
  /** Number of opened rounds; 1 for a job that is not repeated. */
  opened: number;
  finished: number;
  /** Number of runs that have not ended. */
  activeRuns: number;
}

/** A run whose end is not yet recorded in the job store. */
export interface RunRecord extends TaskPosition {
  task: string;
  run: number;
  worker: string;
}

/** A step with tasks that may be placed on workers. */
export interface WaitingStep {
  name: string;
  job: JobRecord;
  round: number;
  step: number;
  spec: StepSpec;
  /** Indices of the unfinished tasks without an active run. */
  indices: Indices;
}

export function newJob(
  { id, queue, pool, customer, spec }: SubmittedJob,
  policy: JobPolicy,
  acceptedAtMs: number,
): JobRecord {
  return {
    id,
    queue,
    pool,
    customer,
    terms: policy,
    spec,
    outcome: "open",
    hasStarted: false,
    acceptedAtMs,
    endedAtMs: undefined,
    rounds: {},
    opened: 0,
    finished: 0,
    activeRuns: 0,
  };
}

export function newRound(steps: readonly StepSpec[]): RoundRecord {
  return {
    tasks: steps.map(({ taskCount }) => new StepTasks(taskCount)),
    openSteps: steps.length,
  };
}

/** A job as it is stored. */
export interface StoredJob extends Omit<JobRecord, "rounds"> {
  rounds: Record<number, { tasks: StoredStepTasks[] }>;
}

/** Restores a round from its stored form. */
export function restoreRound(
  { tasks }: StoredJob["rounds"][number],
): RoundRecord {
  const restored = tasks.map((ofStep) => StepTasks.restore(ofStep));
  const openSteps = restored.filter(({ left }) => left > 0).length;
  return { tasks: restored, openSteps };
}

/** Estimated size in memory of what has run of a round and is not settled, in bytes. */
export function runBytesOf({ tasks }: RoundRecord): number {
  return tasks.reduce((sum, { bytes }) => sum + bytes, 0);
}

export function isFinished({ openSteps }: RoundRecord): boolean {
  return openSteps === 0;
}

export function roundCount({ spec }: JobRecord): number {
  return spec?.repeat?.count ?? 1;
}

/** The state of a job as its submitter sees it. */
export function visibleState(job: JobRecord): BatchJobState {
  if (job.outcome !== "open") {
    return job.outcome;
  }
  return job.hasStarted ? "running" : "queued";
}

/**
 * Records of jobs, rounds, tasks and runs in the job book.
 *
 * @module
 */
import type { BatchJobSpec, BatchJobState, StepSpec } from "./batch_job.ts";
import type { SubmittedJob } from "./command.ts";
import type { Queue } from "./queue_plan.ts";
import type { TaskPlace } from "./task_name.ts";

/** One task of a round. */
export interface TaskRecord {
  /** Number of the last run; 0 before the first. */
  run: number;
  failures: number;
  /** Worker on which it failed last, and when by the wall clock in milliseconds; undefined before it failed. */
  lastFailure?: { worker: string; atMs: number } | undefined;
  isDone: boolean;
  /** Latest checkpoint; empty for none. */
  checkpoint: string;
  /** Worker of the run that has not ended. */
  worker: string | undefined;
}

/** One repetition of a job's steps. */
export interface RoundRecord {
  /** Tasks by step and index. */
  tasks: TaskRecord[][];
  /** Tasks of each step that are not done. */
  left: number[];
}

/** Terms of the queue when the job was accepted. */
export type JobTerms = Pick<
  Queue,
  "priority" | "maxAttempts" | "slackFactor" | "targetLatencyMs" | "advised"
>;

export interface JobRecord {
  id: string;
  queue: string;
  pool: string;
  terms: JobTerms;
  /** Undefined once the job has ended and nothing of it runs. */
  spec: BatchJobSpec | undefined;
  outcome: "open" | "completed" | "failed" | "cancelled";
  /** Whether a run was placed. */
  hasStarted: boolean;
  acceptedAtMs: number;
  endedAtMs: number | undefined;
  rounds: Record<number, RoundRecord>;
  /** Rounds that were opened; 1 for a job that is not repeated. */
  opened: number;
  finished: number;
  /** Runs that have not ended. */
  activeRuns: number;
}

/** A run that has not ended, as far as the book knows. */
export interface RunRecord extends TaskPlace {
  task: string;
  run: number;
  worker: string;
}

/** A step with tasks that may be placed. */
export interface WaitingStep {
  name: string;
  job: JobRecord;
  round: number;
  step: number;
  spec: StepSpec;
  /** Indices of the tasks that have no run. */
  indices: Set<number>;
}

export function newJob(
  { id, queue, pool, spec }: SubmittedJob,
  terms: JobTerms,
  acceptedAtMs: number,
): JobRecord {
  return {
    id,
    queue,
    pool,
    terms,
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
    tasks: steps.map(({ taskCount }) =>
      Array.from({ length: taskCount }, () => ({
        run: 0,
        failures: 0,
        isDone: false,
        checkpoint: "",
        worker: undefined,
      }))
    ),
    left: steps.map(({ taskCount }) => taskCount),
  };
}

export function roundCount({ spec }: JobRecord): number {
  return spec?.repeat?.count ?? 1;
}

/** The state that the submitter sees. */
export function visibleState(job: JobRecord): BatchJobState {
  if (job.outcome !== "open") {
    return job.outcome;
  }
  return job.hasStarted ? "running" : "queued";
}

/**
 * Applies job commands to the replicated state. Quotas, pools and phases are checked here as well as in the placement
 * pass, so that no order of commands from any leader can violate them.
 *
 * @module
 */
import { type Fault, fault } from "../fault.ts";
import { Err, Ok, type Result } from "../result.ts";
import type { State } from "../state.ts";
import { quotasOf } from "./feasibility.ts";
import { emptyHealth } from "./health.ts";
import {
  type Job,
  type JobChange,
  type JobCommand,
  type JobOutput,
  type JobReply,
  type Jobs,
  matchesJob,
} from "./job.ts";
import { countRun, endJob, recordChange } from "./record.ts";
import { endRun } from "./run_end.ts";
import { addSize, fits, remaining, type Size, zeroSize } from "./size.ts";
import { endedReply, submitJobs } from "./submission.ts";

type ChangeOf<T extends JobChange["type"]> = Extract<JobChange, { type: T }>;

/** Applies a job command in place. Every command is idempotent. */
export function applyJobCommand(
  state: State,
  command: JobCommand,
): Result<JobOutput, Fault> {
  switch (command.kind) {
    case "job.submit":
      return Ok({
        kind: "jobs",
        jobs: submitJobs(state, command.jobs, command.at),
      });
    case "job.cancel":
      return Ok({
        kind: "jobs",
        jobs: idsToCancel(state.jobs, command)
          .map((id) => cancel(state.jobs, id, command.at)),
      });
    case "job.step":
      return step(state, command);
  }
}

function idsToCancel(
  jobs: Jobs,
  { jobs: named, matching }: Extract<JobCommand, { kind: "job.cancel" }>,
): string[] {
  if (matching === undefined) {
    return named ?? [];
  }
  return Object.values(jobs.active)
    .filter((job) => matchesJob(job, matching))
    .map((job) => job.id);
}

function cancel(jobs: Jobs, id: string, at: number): JobReply {
  const job = jobs.active[id];
  if (job === undefined) {
    const ended = jobs.ended[id];
    return ended === undefined
      ? { id, state: "unknown" }
      : endedReply(id, ended);
  }
  if (job.run === undefined) {
    endJob(jobs, job, { end: "cancelled", at });
    return { id, state: "cancelled" };
  }
  const run = { ...job.run, want: "stop", cause: "cancel" } as const;
  jobs.active[id] = { ...job, run };
  recordChange(jobs, id);
  return { id, state: "stopping" };
}

function step(
  state: State,
  command: Extract<JobCommand, { kind: "job.step" }>,
): Result<JobOutput, Fault> {
  if (command.base !== state.jobs.sequence) {
    return Err(
      fault(
        "conflict",
        `The step builds on ${command.base}, but ${state.jobs.sequence} steps were applied`,
      ),
    );
  }
  state.jobs.sequence += 1;
  const quotas = quotasOf(state);
  let applied = 0;
  for (const change of command.changes) {
    applied += applyChange(state, change, { at: command.at, quotas }) ? 1 : 0;
  }
  const skipped = command.changes.length - applied;
  return Ok({ kind: "stepped", applied, skipped });
}

interface StepContext {
  at: number;
  quotas: Map<string, Size>;
}

function applyChange(
  state: State,
  change: JobChange,
  context: StepContext,
): boolean {
  switch (change.type) {
    case "place":
      return place(state, change, context);
    case "want":
      return want(state.jobs, change);
    case "checkpoint":
      return checkpoint(state.jobs, change);
    case "end":
      return endRun(state.jobs, change, context.at);
    case "refuse":
      return refuse(state.jobs, change, context.at);
    case "health":
      return setHealth(state.jobs, change, context.at);
    case "prune":
      return prune(state.jobs, change.before);
  }
}

function place(
  state: State,
  change: ChangeOf<"place">,
  context: StepContext,
): boolean {
  const job = state.jobs.active[change.job];
  const vm = state.vms[change.vm];
  if (job === undefined || job.phase !== "waiting" || vm === undefined) {
    return false;
  }
  if (vm.phase !== "serving" || vm.pool !== job.pool) {
    return false;
  }
  if (change.run !== nextRunId(job)) {
    return false;
  }
  const quota = context.quotas.get(job.team);
  const held = state.jobs.held[job.team] ??= zeroSize();
  if (quota === undefined || !fits(change.size, remaining(quota, held))) {
    return false;
  }
  addSize(held, change.size);
  countRun(state.jobs, change.vm, 1);
  state.jobs.active[job.id] = {
    ...job,
    phase: "placed",
    runs: job.runs + 1,
    run: {
      id: change.run,
      vm: change.vm,
      incarnation: change.incarnation,
      size: change.size,
      at: context.at,
      want: "run",
    },
  };
  recordChange(state.jobs, job.id);
  return true;
}

/** The id of the job's next run. */
export function nextRunId(job: Job): string {
  return `${job.id}#${job.runs + 1}`;
}

function jobWithRun(jobs: Jobs, id: string, run: string): Job | undefined {
  const job = jobs.active[id];
  return job?.run?.id === run ? job : undefined;
}

function want(jobs: Jobs, change: ChangeOf<"want">): boolean {
  const job = jobWithRun(jobs, change.job, change.run);
  // A cancellation is final; a stop is never replaced by a checkpoint.
  if (job?.run === undefined || job.run.want === "stop") {
    return false;
  }
  const run = { ...job.run, want: change.want, cause: change.cause };
  jobs.active[job.id] = { ...job, run };
  recordChange(jobs, job.id);
  return true;
}

function checkpoint(jobs: Jobs, change: ChangeOf<"checkpoint">): boolean {
  const job = jobWithRun(jobs, change.job, change.run);
  if (job === undefined) {
    return false;
  }
  jobs.active[job.id] = { ...job, checkpoint: change.checkpoint };
  recordChange(jobs, job.id);
  return true;
}

function refuse(jobs: Jobs, change: ChangeOf<"refuse">, at: number): boolean {
  const job = jobs.active[change.job];
  if (job === undefined || job.phase !== "waiting") {
    return false;
  }
  endJob(jobs, job, { end: "refused", reason: change.reason, at });
  return true;
}

function setHealth(
  jobs: Jobs,
  change: ChangeOf<"health">,
  at: number,
): boolean {
  const health = jobs.health[change.vm] ?? emptyHealth();
  jobs.health[change.vm] = { ...health, phase: change.phase, at };
  if (change.phase === "quarantined") {
    clearFailuresOnVm(jobs, change.vm);
  }
  return true;
}

/** Removes the failures on a VM from its jobs: failures on a faulty VM say nothing about the jobs. */
function clearFailuresOnVm(jobs: Jobs, vm: string): void {
  for (const job of Object.values(jobs.active)) {
    if (job.failedOn.includes(vm)) {
      const failedOn = job.failedOn.filter((name) => name !== vm);
      const failures = job.failures - 1;
      jobs.active[job.id] = { ...job, failedOn, failures };
      recordChange(jobs, job.id);
    }
  }
}

function prune(jobs: Jobs, before: number): boolean {
  for (const [id, ended] of Object.entries(jobs.ended)) {
    if (ended.at < before) {
      delete jobs.ended[id];
    }
  }
  return true;
}

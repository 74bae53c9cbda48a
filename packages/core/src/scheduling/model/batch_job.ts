/**
 * Batch jobs as customers submit them: steps of tasks.
 *
 * @module
 */
import { z } from "zod";

const Count = z.number().int().nonnegative();

/** Resources of a task or of a VM. */
export const Resources = z.object({
  /** Millicores. */
  cpuMilli: Count,
  memoryMb: Count,
  gpus: Count,
});
export type Resources = z.infer<typeof Resources>;

/** Whether two VMs have the same resources. */
export function isSameCapacity(a: Resources, b: Resources): boolean {
  return a.cpuMilli === b.cpuMilli && a.memoryMb === b.memoryMb &&
    a.gpus === b.gpus;
}

/** One step: identical tasks that may start once the steps they depend on are done. */
export const StepSpec = z.object({
  taskCount: z.number().int().positive(),
  demand: Resources,
  /** The submitter's rough guess of a task's duration. */
  estimatedMs: Count,
  /** Indices of earlier steps whose tasks must all be done. */
  dependsOn: z.array(Count),
  /** Whether tasks save checkpoints from which a later run resumes. */
  checkpoints: z.boolean(),
  /** Whether all tasks run together, under one run number. */
  gang: z.boolean(),
  /** Whether tasks run slower when they are spread over several racks. */
  sameRack: z.boolean(),
  /** Label that the VM must have; empty for none. */
  requiredLabel: z.string(),
  /** Rack that holds the input data; empty for none. */
  dataRack: z.string(),
  /** Maximum number of the step's tasks on one VM; 0 for no limit. */
  maxPerWorker: Count,
  allowsCopies: z.boolean(),
  /** Whether tasks are long-running: they run until the job is cancelled. */
  lasting: z.boolean(),
  /** Image that the tasks run; tasks of one image behave alike. Empty if unnamed. */
  image: z.string(),
  /** Target tail latency of latency-sensitive tasks; 0 for other tasks. */
  targetLatencyMs: Count,
  /** Whether the tasks are best-effort: they use only CPU time that other tasks leave idle. */
  fills: z.boolean(),
  /** Maximum number of tasks that planned work may make unavailable at once; undefined for no limit. */
  maxUnavailable: Count.optional(),
});
export type StepSpec = z.infer<typeof StepSpec>;

/** Repetition of a job at a fixed interval. */
export const Repeat = z.object({
  count: z.number().int().positive(),
  /** Wall-clock time of the first repetition, in milliseconds since the Unix epoch. */
  startAtMs: z.number().int(),
  intervalMs: Count,
});
export type Repeat = z.infer<typeof Repeat>;

export const BatchJobSpec = z.object({
  /** Opaque text that is sent to the worker with each start of a task. */
  text: z.string(),
  steps: z.array(StepSpec).min(1),
  repeat: Repeat.optional(),
});
export type BatchJobSpec = z.infer<typeof BatchJobSpec>;

/** State of a job as its submitter sees it. */
export const BatchJobState = z.enum([
  "queued",
  "running",
  "completed",
  "failed",
  "cancelled",
]);
export type BatchJobState = z.infer<typeof BatchJobState>;

/** Whether a step depends on itself or on a later step; the schema cannot express this check. */
export function hasForwardDependency({ steps }: BatchJobSpec): boolean {
  return steps.some(({ dependsOn }, index) =>
    dependsOn.some((other) => other >= index)
  );
}

/** Number of tasks of one round of a job. */
export function taskCountOf({ steps }: BatchJobSpec): number {
  return steps.reduce((sum, { taskCount }) => sum + taskCount, 0);
}

/** Most tasks of a gang, which are placed by one command. */
export const MAX_GANG_TASKS = 10_000;

/** Whether a gang of the job has more tasks than can start together. */
export function hasOversizeGang({ steps }: BatchJobSpec): boolean {
  return steps.some(({ gang, taskCount }) =>
    gang && taskCount > MAX_GANG_TASKS
  );
}

/** Resources that a task of the step reserves on its worker; best-effort tasks reserve no CPU. */
export function reservation({ demand, fills }: StepSpec): Resources {
  return fills ? { ...demand, cpuMilli: 0 } : demand;
}

/**
 * Jobs of steps and tasks, as customers submit them.
 *
 * @module
 */
import { z } from "zod";

const Count = z.number().int().nonnegative();

/** Resources of a task or of a VM. */
export const Resources = z.object({
  /** Thousandths of a core. */
  cpuMilli: Count,
  memoryMb: Count,
  gpus: Count,
});
export type Resources = z.infer<typeof Resources>;

/** One step: tasks of one kind that may start once the steps before them are done. */
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
  /** Whether tasks are slower when they span racks. */
  sameRack: z.boolean(),
  /** Label that the VM must carry; empty for none. */
  requiredLabel: z.string(),
  /** Rack that holds the data; empty for none. */
  dataRack: z.string(),
  /** Most tasks of the step on one VM; 0 for no limit. */
  maxPerWorker: Count,
  allowsCopies: z.boolean(),
  /** Whether tasks run until the job is cancelled. */
  lasting: z.boolean(),
  /** What the tasks run; tasks of one image behave alike. Empty if unnamed. */
  image: z.string(),
  /** Bound of the tail latency of tasks that serve; 0 for none. */
  targetLatencyMs: Count,
  /** Whether the tasks use only processor time that others leave. */
  fills: z.boolean(),
  /** Most tasks that may be away because of planned work; undefined for no limit. */
  maxUnavailable: Count.optional(),
});
export type StepSpec = z.infer<typeof StepSpec>;

/** Repetitions of a job at fixed times. */
export const Repeat = z.object({
  count: z.number().int().positive(),
  /** Wall-clock time of the first repetition, in milliseconds since 1970. */
  startAtMs: z.number().int(),
  intervalMs: Count,
});
export type Repeat = z.infer<typeof Repeat>;

export const BatchJobSpec = z.object({
  /** Text that every worker receives with a task's start. */
  text: z.string(),
  steps: z.array(StepSpec).min(1),
  repeat: Repeat.optional(),
});
export type BatchJobSpec = z.infer<typeof BatchJobSpec>;

/** What a job's submitter sees. */
export const BatchJobState = z.enum([
  "queued",
  "running",
  "completed",
  "failed",
  "cancelled",
]);
export type BatchJobState = z.infer<typeof BatchJobState>;

/** Checks what the schema cannot: a step depends on earlier steps only. */
export function hasForwardDependency({ steps }: BatchJobSpec): boolean {
  return steps.some(({ dependsOn }, index) =>
    dependsOn.some((other) => other >= index)
  );
}

/** Processor time that a step's free capacity must offer; tasks that fill reserve none. */
export function reservation({ demand, fills }: StepSpec): Resources {
  return fills ? { ...demand, cpuMilli: 0 } : demand;
}

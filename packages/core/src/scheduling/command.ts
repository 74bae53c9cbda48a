/**
 * Commands of the replicated job book.
 *
 * @module
 */
import { z } from "zod";
import { BatchJobSpec, Resources } from "./batch_job.ts";
import { QueuePlan } from "./queue_plan.ts";

/** How a run ended, as its worker reports it. */
export const RunEnding = z.enum([
  "done",
  "failed",
  "stopped",
  /** The lease of the worker ran out. */
  "lapsed",
  /** Another member of the gang ended. */
  "broken",
  /** The other members of the gang did not come. */
  "alone",
]);
export type RunEnding = z.infer<typeof RunEnding>;

/** One life of a VM that runs tasks. */
export const Worker = z.object({
  id: z.string(),
  pool: z.string(),
  address: z.string(),
  zone: z.string(),
  /** Undefined while the worker has not named its VM. */
  vm: z.string().optional(),
  capacity: Resources,
  /** Kind and rack of the VM. */
  labels: z.array(z.string()),
  /** Whether it announced that it leaves; it gets no new work. */
  draining: z.boolean(),
  /** Whether it said goodbye; once it does not answer, nothing runs there. */
  hasLeft: z.boolean(),
});
export type Worker = z.infer<typeof Worker>;

export const SubmittedJob = z.object({
  id: z.string(),
  queue: z.string(),
  pool: z.string(),
  spec: BatchJobSpec,
});
export type SubmittedJob = z.infer<typeof SubmittedJob>;

/** One run of a task on a worker. */
export const RunKey = z.object({
  task: z.string(),
  run: z.number().int(),
  worker: z.string(),
});
export type RunKey = z.infer<typeof RunKey>;

/** The end of a run and the checkpoint that it left; empty for none. */
export const RunEnd = RunKey.extend({ how: RunEnding, checkpoint: z.string() });
export type RunEnd = z.infer<typeof RunEnd>;

/** Operators' request that VMs be maintained. */
export const UpkeepWave = z.object({
  id: z.number().int(),
  vms: z.array(z.string()),
  durationMs: z.number().positive(),
  /** Most VMs that may be down for it at once. */
  maxDown: z.number().int().positive(),
  startedAtMs: z.number(),
});
export type UpkeepWave = z.infer<typeof UpkeepWave>;

export const BookCommand = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("plan"), plan: QueuePlan }),
  z.object({
    kind: z.literal("submit"),
    jobs: z.array(SubmittedJob),
    atMs: z.number(),
  }),
  z.object({
    kind: z.literal("cancel"),
    ids: z.array(z.string()),
    atMs: z.number(),
  }),
  /** Opens rounds of repeated jobs whose time has come. */
  z.object({
    kind: z.literal("open"),
    rounds: z.array(z.object({ job: z.string(), round: z.number().int() })),
  }),
  /** Reserves room; the runs may be ordered once this is committed. */
  z.object({ kind: z.literal("place"), runs: z.array(RunKey) }),
  z.object({
    kind: z.literal("settle"),
    ends: z.array(RunEnd),
    /** Runs that surely never started. */
    dropped: z.array(RunKey),
    atMs: z.number(),
  }),
  z.object({ kind: z.literal("join"), workers: z.array(Worker) }),
  /** Workers of which nothing runs any more. */
  z.object({
    kind: z.literal("lose"),
    workers: z.array(z.string()),
    /** Whether they have ended for good; a report of theirs that arrives later is an old one. */
    haveEnded: z.boolean(),
    atMs: z.number(),
  }),
  z.object({ kind: z.literal("forget"), endedBeforeMs: z.number() }),
  z.object({ kind: z.literal("wave"), wave: UpkeepWave }),
  /** Upkeep of a VM is about to be ordered, was refused, or has ended; a VM that left the fleet needs none. */
  z.object({
    kind: z.literal("upkeep"),
    wave: z.number().int(),
    vm: z.string(),
    phase: z.enum(["begun", "refused", "done", "gone"]),
    /** Worker on the VM before its upkeep, if any. */
    worker: z.string().optional(),
  }),
]);
export type BookCommand = z.infer<typeof BookCommand>;

/** What applying a command reports. */
export const BookOutput = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("applied") }),
  z.object({ kind: z.literal("planned"), version: z.number().int() }),
  /** Ids that no job has. */
  z.object({ kind: z.literal("cancelled"), unknown: z.array(z.string()) }),
]);
export type BookOutput = z.infer<typeof BookOutput>;

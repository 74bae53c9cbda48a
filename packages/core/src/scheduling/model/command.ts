/**
 * Commands of the replicated job store.
 *
 * @module
 */
import { z } from "zod";
import { BatchJobSpec, Resources } from "./batch_job.ts";
import { JobPolicy, QueuePlan } from "./queue_plan.ts";

/** How a run ended, as its worker reports it. */
export const RunOutcome = z.enum([
  "done",
  "failed",
  "stopped",
  /** The worker's lease expired. */
  "lapsed",
  /** Another member of the gang ended. */
  "broken",
  /** The other members of the gang did not start. */
  "alone",
]);
export type RunOutcome = z.infer<typeof RunOutcome>;

/** One incarnation of a VM that runs tasks. */
export const Worker = z.object({
  id: z.string(),
  pool: z.string(),
  address: z.string(),
  zone: z.string(),
  /** Undefined until the worker has reported its VM. */
  vm: z.string().optional(),
  capacity: Resources,
  /** Kind of the VM, then its rack. */
  labels: z.array(z.string()),
  /** Whether it announced that it will leave; it gets no new work. */
  draining: z.boolean(),
  /** Whether it announced that it is about to end. */
  hasLeft: z.boolean(),
  /** Number of the report that this is from; later reports of a worker have higher numbers. Undefined if not numbered. */
  reportNumber: z.number().int().optional(),
  /** When this life of the worker began, in Unix milliseconds; undefined where the platform does not say. */
  bornAtMs: z.number().int().optional(),
});
export type Worker = z.infer<typeof Worker>;

export const SubmittedJob = z.object({
  id: z.string(),
  queue: z.string(),
  pool: z.string(),
  /** Name of the customer that submitted it; undefined for an anonymous job. */
  customer: z.string().optional(),
  /** Policy of the queue that the submission was checked against; undefined in logs of an earlier version. */
  policy: JobPolicy.optional(),
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

/** The end of a run and the last checkpoint that it saved; empty for none. */
export const RunEnd = RunKey.extend({
  how: RunOutcome,
  checkpoint: z.string(),
});
export type RunEnd = z.infer<typeof RunEnd>;

/** A run that may have crashed its worker. */
export const CrashSuspect = RunKey.extend({
  /** Whether the worker confirmed the start of the run, and certainly crashed. */
  isConfirmed: z.boolean(),
  /** Whether the run was on probation, and no other job can have caused the crash. */
  isAttributed: z.boolean().default(false),
});
export type CrashSuspect = z.infer<typeof CrashSuspect>;

/** A maintenance wave: an operator's request to maintain a set of VMs. */
export const MaintenanceWave = z.object({
  id: z.number().int(),
  vms: z.array(z.string()),
  durationMs: z.number().positive(),
  /** Maximum number of VMs that may be down for it at once. */
  maxDown: z.number().int().positive(),
  startedAtMs: z.number(),
});
export type MaintenanceWave = z.infer<typeof MaintenanceWave>;

/** A move of a VM to another pool. */
export const VmMove = z.object({
  vm: z.string(),
  pool: z.string(),
});
export type VmMove = z.infer<typeof VmMove>;

export const JobStoreCommand = z.discriminatedUnion("kind", [
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
  /** Opens the rounds (repetitions) of repeated jobs whose start time is reached. */
  z.object({
    kind: z.literal("open"),
    rounds: z.array(z.object({ job: z.string(), round: z.number().int() })),
  }),
  /** Reserves resources; the runs may be started once this is committed. */
  z.object({ kind: z.literal("place"), runs: z.array(RunKey) }),
  z.object({
    kind: z.literal("settle"),
    ends: z.array(RunEnd),
    /** Runs that are known never to have started and never to start. */
    dropped: z.array(RunKey),
    /** Runs that have run for a while, so that their tasks are no suspects of earlier crashes. */
    cleared: z.array(RunKey).optional(),
    atMs: z.number(),
  }),
  z.object({ kind: z.literal("join"), workers: z.array(Worker) }),
  /** Removes workers on which nothing runs any more. */
  z.object({
    kind: z.literal("lose"),
    workers: z.array(z.string()),
    /** Whether they have ended permanently, so that reports of theirs that arrive later are stale. */
    haveEnded: z.boolean(),
    /** Births of the lives that were lost, by worker; a worker with a later one is kept. */
    births: z.record(z.string(), z.number().int()).optional(),
    /** Runs that ended with the earlier life of a worker that restarted under its id, and is kept. */
    runs: z.array(RunKey).optional(),
    /** Runs that may have crashed a worker; undefined if no worker crashed. */
    suspects: z.array(CrashSuspect).optional(),
    atMs: z.number(),
  }),
  /** Deletes the records of jobs that ended before a time. */
  z.object({ kind: z.literal("forget"), endedBeforeMs: z.number() }),
  z.object({ kind: z.literal("wave"), wave: MaintenanceWave }),
  /** Maintenance of a VM is about to be ordered, was refused, has ended, or is not needed as the VM left the fleet. */
  z.object({
    kind: z.literal("upkeep"),
    wave: z.number().int(),
    vm: z.string(),
    phase: z.enum(["begun", "refused", "done", "gone"]),
    /** Worker on the VM before its maintenance, if any, and its birth. */
    worker: z.string().optional(),
    bornAtMs: z.number().int().optional(),
  }),
  /** Moves of VMs that are about to be ordered, and VMs whose move was carried out, refused, or can no longer be. */
  z.object({
    kind: z.literal("move"),
    begun: z.array(VmMove),
    ended: z.array(z.string()),
  }),
]);
export type JobStoreCommand = z.infer<typeof JobStoreCommand>;

/** Result of applying a command. */
export const JobStoreOutput = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("applied") }),
  z.object({ kind: z.literal("planned"), version: z.number().int() }),
  /** Ids of unknown jobs. */
  z.object({ kind: z.literal("cancelled"), unknown: z.array(z.string()) }),
]);
export type JobStoreOutput = z.infer<typeof JobStoreOutput>;

/**
 * Methods that nodes call at the leader, with their parameters and results.
 *
 * @module
 */
import {
  BatchJobSpec,
  BatchJobState,
  MaintenanceWave,
  QueuePlan,
  Worker,
} from "@quetzalcove/core/scheduling";
import { z } from "zod";

/** Host and path of a request, which name a queue or a job of it. */
const QueuePath = z.object({ host: z.string(), path: z.string() });

/** A customer's call. */
const CustomerCall = QueuePath.extend({
  /** SHA-256 digest of the caller's API key, in hexadecimal; undefined for a call without a key. */
  keyDigest: z.string().optional(),
});

/** Schemas of the parameters, by method. */
export const METHOD_PARAMS = {
  submit_job: CustomerCall.extend({
    spec: BatchJobSpec,
    /** Size of the customer's request; undefined from entries of an earlier version. */
    bodyBytes: z.number().int().nonnegative().optional(),
  }),
  /** Whether a large submission would be refused for want of memory; asked before it is sent. */
  check_submission: CustomerCall.extend({
    /** What the job takes in memory. */
    jobBytes: z.number().int().nonnegative(),
    bodyBytes: z.number().int().nonnegative(),
  }),
  /** The state of a job, or the number of pending jobs of its queue. */
  read_queue: CustomerCall,
  cancel_job: CustomerCall,
  report_worker: z.object({ worker: Worker }),
  leave_worker: z.object({ id: z.string() }),
  replace_plan: z.object({ plan: QueuePlan }),
  read_plan: z.object({}),
  start_wave: z.object({ wave: MaintenanceWave }),
  read_wave: z.object({ id: z.number().int() }),
} as const;

export type Method = keyof typeof METHOD_PARAMS;
/** Methods of customers' calls. */
export type CustomerMethod = "submit_job" | "read_queue" | "cancel_job";
export type Params<M extends Method> = z.infer<(typeof METHOD_PARAMS)[M]>;

/** Result of `read_queue`. */
export const QueueResult = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("job"), state: BatchJobState }),
  z.object({ kind: z.literal("no_job") }),
  z.object({ kind: z.literal("queue"), pendingJobs: z.number().int() }),
]);
export type QueueResult = z.infer<typeof QueueResult>;

export const CancelResult = z.object({ isKnown: z.boolean() });
export type CancelResult = z.infer<typeof CancelResult>;

export const PlanResult = z.object({
  version: z.number().int(),
  source: z.string(),
});
export type PlanResult = z.infer<typeof PlanResult>;

export const WaveResult = z.object({ isCompleted: z.boolean() });
export type WaveResult = z.infer<typeof WaveResult>;

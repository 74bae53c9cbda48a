/**
 * Request and response bodies of the administration API. Unknown members of responses are ignored, so that newer
 * daemons can add some.
 *
 * @module
 */
import { z } from "zod";
import { Announcement } from "./announcement.ts";
import { Fault } from "./fault.ts";
import { VmRecord } from "./fleet.ts";
import { Inventory } from "./inventory.ts";
import { Attempt } from "./ledger.ts";
import { Rules } from "./rules.ts";

/** A failure as an `application/problem+json` body (RFC 9457). */
export const Problem = z.object({
  type: z.string(),
  title: z.string(),
  status: z.number().int(),
  detail: z.string().optional(),
  instance: z.string().optional(),
  fault: Fault,
});
export type Problem = z.infer<typeof Problem>;

/** One entry as the leader sees it. */
export const EntryStatus = z.object({
  entry: z.string(),
  zone: z.string(),
  incarnation: z.number().int(),
  /** Remaining time of its lease in milliseconds; negative after it has expired. */
  leaseMs: z.number(),
  revision: z.number().int(),
  /** Whether it is shutting down. */
  stopping: z.boolean().default(false),
});
export type EntryStatus = z.infer<typeof EntryStatus>;

/** Body of `GET /v1/status`. */
export const Status = z.object({
  cluster: z.string(),
  entry: z.string(),
  zone: z.string(),
  version: z.number().int(),
  revision: z.number().int(),
  inForceRevision: z.number().int(),
  leader: z.string().nullable(),
  term: z.number().int(),
  entries: z.array(EntryStatus),
  counts: z.object({
    vms: z.number().int(),
    targets: z.number().int(),
    attemptsRunning: z.number().int(),
    attemptsUnknown: z.number().int(),
  }),
  /** Requests by outcome since the entry started. */
  requests: z.record(z.string(), z.number()),
});
export type Status = z.infer<typeof Status>;

/** Body of `GET /v1/configuration`. */
export const ConfigurationView = z.object({
  version: z.number().int(),
  revision: z.number().int(),
  inventory: Inventory,
  rules: Rules,
});
export type ConfigurationView = z.infer<typeof ConfigurationView>;

/** Body of `POST /v1/configuration`. */
export const ConfigurationChange = z.strictObject({
  change: z.string().min(1).max(128),
  base: z.number().int().nonnegative(),
  inventory: Inventory,
  rules: Rules,
});
export type ConfigurationChange = z.infer<typeof ConfigurationChange>;

/** Answer to an accepted configuration change. */
export const AcceptedChange = z.object({
  version: z.number().int(),
  revision: z.number().int(),
});
export type AcceptedChange = z.infer<typeof AcceptedChange>;

/** Body of `GET /v1/force`: whether every entry that may serve has applied a revision, and which ones have not. */
export const RevisionInForceView = z.object({
  revision: z.number().int(),
  inForce: z.boolean(),
  waiting: z.array(z.string()),
});
export type RevisionInForceView = z.infer<typeof RevisionInForceView>;

/** One VM with its location and its targets. */
export const VmView = VmRecord.extend({
  /** Null once the VM has left the inventory; so are rack and desired pool. */
  zone: z.string().nullable(),
  rack: z.string().nullable(),
  desiredPool: z.string().nullable(),
  announced: z.boolean(),
  inFlight: z.number().int(),
  targets: z.array(Announcement),
});
export type VmView = z.infer<typeof VmView>;

/** Body of `GET /v1/vms`. */
export const Vms = z.object({
  vms: z.array(VmView),
  /** Targets that announce themselves on a VM without a record. */
  unknownTargets: z.array(Announcement),
});
export type Vms = z.infer<typeof Vms>;

/** Answer to a change of one VM. */
export const ChangedRevision = z.object({ revision: z.number().int() });
export type ChangedRevision = z.infer<typeof ChangedRevision>;

export const ServiceView = z.object({
  name: z.string(),
  pool: z.string(),
  targetsServing: z.number().int(),
  slots: z.number().int(),
  inFlight: z.number().int(),
  queued: z.number().int(),
  /** Remaining share of the availability budget, from 1 (all) to 0 or less (spent). */
  budgetLeft: z.number().optional(),
});
export type ServiceView = z.infer<typeof ServiceView>;

/** Body of `GET /v1/services`. */
export const Services = z.object({ services: z.array(ServiceView) });
export type Services = z.infer<typeof Services>;

/** Body of `GET /v1/requests`. */
export const Attempts = z.object({ attempts: z.array(Attempt) });
export type Attempts = z.infer<typeof Attempts>;

/** Body of `POST /v1/requests/settle`. */
export const Settlement = z.strictObject({
  key: z.string().min(1),
  outcome: z.enum(["ran", "not run"]),
});
export type Settlement = z.infer<typeof Settlement>;

export const ReplicaView = z.object({
  replica: z.string(),
  entry: z.string(),
  zone: z.string(),
  role: z.enum(["leader", "follower", "learner", "candidate"]),
  /** Highest log index known to be stored on it. */
  matched: z.number().int(),
  caughtUp: z.boolean(),
});
export type ReplicaView = z.infer<typeof ReplicaView>;

/** Body of `GET /v1/replicas`. */
export const Replicas = z.object({ replicas: z.array(ReplicaView) });
export type Replicas = z.infer<typeof Replicas>;

/** Why a VM, a domain or the whole fleet is held back from maintenance. */
export const WaveHold = z.object({
  vm: z.string().optional(),
  /** The rack or zone that the hold concerns. */
  domain: z.string().optional(),
  rule: z.string(),
  service: z.string().optional(),
  figure: z.number().optional(),
  limit: z.number().optional(),
  message: z.string(),
});
export type WaveHold = z.infer<typeof WaveHold>;

/** A maintenance wave in progress. */
export const WaveView = z.object({
  id: z.number().int(),
  /** The rack or zone that the wave stays inside. */
  domain: z.string(),
  canary: z.boolean(),
  vms: z.array(z.string()),
  /** Wall-clock time of its start, in milliseconds. */
  startedAt: z.number(),
});
export type WaveView = z.infer<typeof WaveView>;

/** Body of `GET /v1/waves`. */
export const Waves = z.object({
  waves: z.array(WaveView),
  holds: z.array(WaveHold).default([]),
});
export type Waves = z.infer<typeof Waves>;

/** One span of a traced request. */
export const SpanView = z.object({
  span: z.string(),
  parent: z.string().nullish(),
  name: z.string(),
  entry: z.string(),
  startMs: z.number(),
  durationMs: z.number(),
  attributes: z.record(z.string(), z.unknown()).default({}),
});
export type SpanView = z.infer<typeof SpanView>;

/** Body of `GET /v1/traces/:id`. */
export const Trace = z.object({ spans: z.array(SpanView) });
export type Trace = z.infer<typeof Trace>;

/** A job with its state, as listed by `GET /v1/jobs`. */
export const JobView = z.object({
  id: z.string(),
  team: z.string(),
  pool: z.string().optional(),
  priority: z.string().optional(),
  state: z.string(),
  vm: z.string().optional(),
  reason: z.string().optional(),
});
export type JobView = z.infer<typeof JobView>;

/** Body of `GET /v1/jobs`. */
export const JobViews = z.object({ jobs: z.array(JobView) });
export type JobViews = z.infer<typeof JobViews>;

/** The result of submitting or cancelling one job. */
export const JobAnswer = z.object({
  id: z.string(),
  state: z.string(),
  reason: z.string().optional(),
});
export type JobAnswer = z.infer<typeof JobAnswer>;

/** Answer to `POST /v1/jobs` and `POST /v1/jobs/cancel`. */
export const JobAnswers = z.object({ jobs: z.array(JobAnswer) });
export type JobAnswers = z.infer<typeof JobAnswers>;

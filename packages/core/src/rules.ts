/**
 * The rules that operators write on top of the inventory: services and their budgets, maintenance, sharing and
 * teams.
 *
 * @module
 */
import { z } from "zod";
import { DurationMs, Name, Priority } from "./names.ts";
import { JobRules } from "./placement/rules.ts";

/** The availability budget of a service: the share of need that may go unserved within a window. */
export const Budget = z.strictObject({
  unservedShare: z.number().min(0).max(1).default(0.001),
  windowMs: DurationMs.default(30 * 86_400_000),
});
export type Budget = z.infer<typeof Budget>;

export const Service = z.strictObject({
  name: Name,
  pool: Name,
  budget: Budget.prefault({}),
  /** Methods whose requests are idempotent and may be sent again. */
  repeatable: z.array(
    z.enum(["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"]),
  ).default([
    "GET",
    "HEAD",
  ]),
  priority: Priority.default("live"),
  deadlineMs: DurationMs.default(5_000),
  maxRequestBytes: z.number().int().positive().default(1_048_576),
  maxAnswerBytes: z.number().int().positive().default(8_388_608),
  /** Requests that may wait at one entry. */
  maxQueue: z.number().int().nonnegative().default(64),
});
export type Service = z.infer<typeof Service>;

/** A daily period in UTC in which maintenance may run; it wraps over midnight when `to` is before `from`. */
export const MaintenanceWindow = z.strictObject({
  from: z.string().regex(
    /^([01]\d|2[0-3]):[0-5]\d$/,
    "must be a time of day, for example 09:30",
  ),
  to: z.string().regex(
    /^([01]\d|2[0-3]):[0-5]\d$/,
    "must be a time of day, for example 16:00",
  ),
});
export type MaintenanceWindow = z.infer<typeof MaintenanceWindow>;

/** How much each of the users' three measures counts when a wave is planned. */
export const Weights = z.strictObject({
  buffer: z.number().nonnegative().default(1),
  rollout: z.number().nonnegative().default(1),
  moves: z.number().nonnegative().default(1),
});
export type Weights = z.infer<typeof Weights>;

export const Maintenance = z.strictObject({
  enabled: z.boolean().default(false),
  /** Every VM is maintained once within this period. */
  periodMs: DurationMs.default(56 * 86_400_000),
  /** Empty means at any time. */
  windows: z.array(MaintenanceWindow).default([]),
  weights: Weights.prefault({}),
  /** The failure domain that a wave stays inside. */
  domain: z.enum(["rack", "zone"]).default("rack"),
  /** VMs in the first wave of a round. */
  canary: z.number().int().positive().default(1),
  /** How long a wave's VMs must stay healthy before the next wave. */
  bakeMs: DurationMs.default(60_000),
  /** The most VMs in one wave. */
  maxWidth: z.number().int().positive().default(64),
  /** A drain that takes longer is put off. */
  drainTimeoutMs: DurationMs.default(600_000),
  /** A VM that does not return within this time counts as failed. */
  rebootTimeoutMs: DurationMs.default(900_000),
});
export type Maintenance = z.infer<typeof Maintenance>;

/** A team and the resources that its jobs may hold at once. */
export const Team = z.strictObject({
  name: Name,
  cores: z.number().nonnegative(),
  memoryGb: z.number().nonnegative(),
  accelerators: z.number().int().nonnegative().default(0),
});
export type Team = z.infer<typeof Team>;

export const Rules = z.strictObject({
  services: z.array(Service).default([]),
  /** Groups of services that may share the VMs of one pool. */
  sharing: z.array(z.array(Name).min(2)).default([]),
  maintenance: Maintenance.prefault({}),
  teams: z.array(Team).default([]),
  jobs: JobRules.prefault({}),
});
export type Rules = z.infer<typeof Rules>;

/** Rules without services, in force before the first change. */
export function emptyRules(): Rules {
  return Rules.parse({});
}

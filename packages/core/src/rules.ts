/**
 * The operators' rules for the inventory: services and their budgets, maintenance, sharing, teams and jobs.
 *
 * @module
 */
import { z } from "zod";
import { DurationMs, Name, Priority } from "./names.ts";
import { JobRules } from "./placement/rules.ts";

/** The availability budget of a service: the share of its requests that may go unserved within a window. */
export const Budget = z.strictObject({
  unservedShare: z.number().min(0).max(1).default(0.001).describe(
    "Share of the need that may go unserved within the window.",
  ),
  windowMs: DurationMs.default(30 * 86_400_000).describe(
    "Length of the sliding window.",
  ),
});
export type Budget = z.infer<typeof Budget>;

export const Service = z.strictObject({
  name: Name.describe("Name of the service."),
  pool: Name.describe("Pool whose VMs run the service."),
  budget: Budget.prefault({}).describe("Availability budget."),
  repeatable: z.array(
    z.enum(["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"]),
  ).default([
    "GET",
    "HEAD",
  ]).describe("Methods whose requests are idempotent and may be sent again."),
  priority: Priority.default("live").describe(
    "Class of requests that name none.",
  ),
  deadlineMs: DurationMs.default(5_000).describe(
    "Deadline of requests that name none.",
  ),
  maxRequestBytes: z.number().int().positive().default(1_048_576).describe(
    "Largest request body.",
  ),
  maxAnswerBytes: z.number().int().positive().default(8_388_608).describe(
    "Largest answer body.",
  ),
  maxQueue: z.number().int().nonnegative().default(64).describe(
    "Requests that may wait at one entry.",
  ),
});
export type Service = z.infer<typeof Service>;

/** Multiple of a service's deadline at which an attempt is cut off; until then a late outcome can still be recorded. */
const ATTEMPT_DEADLINE_FACTOR = 2;

/** Longest duration of an attempt at a target, in milliseconds; after that its connection is closed. */
export function longestAttemptMs(service: Service): number {
  return service.deadlineMs * ATTEMPT_DEADLINE_FACTOR;
}

/** A daily period in UTC in which maintenance may run; it spans midnight when `to` is before `from`. */
export const MaintenanceWindow = z.strictObject({
  from: z.string().regex(
    /^([01]\d|2[0-3]):[0-5]\d$/,
    "must be a time of day, for example 09:30",
  ).describe("Start, a time of day in UTC."),
  to: z.string().regex(
    /^([01]\d|2[0-3]):[0-5]\d$/,
    "must be a time of day, for example 16:00",
  ).describe("End, a time of day in UTC; before `from` it is the next day."),
});
export type MaintenanceWindow = z.infer<typeof MaintenanceWindow>;

/** Relative weights of the three planning objectives of waves: spare capacity, roll-out time and moves. */
export const Weights = z.strictObject({
  buffer: z.number().nonnegative().default(1).describe(
    "Weight of spare capacity.",
  ),
  rollout: z.number().nonnegative().default(1).describe(
    "Weight of roll-out time.",
  ),
  moves: z.number().nonnegative().default(1).describe("Weight of moves."),
});
export type Weights = z.infer<typeof Weights>;

export const Maintenance = z.strictObject({
  enabled: z.boolean().default(false).describe("Whether waves start."),
  periodMs: DurationMs.default(56 * 86_400_000).describe(
    "Every VM is maintained once within this period.",
  ),
  windows: z.array(MaintenanceWindow).default([]).describe(
    "Daily periods in which waves may run; empty means at any time.",
  ),
  weights: Weights.prefault({}).describe(
    "How much each measure counts when a wave is planned.",
  ),
  round: z.number().int().nonnegative().default(0).describe(
    "Raising this number starts a new round at once.",
  ),
  domain: z.enum(["rack", "zone"]).default("rack").describe(
    "Failure domain that a wave stays inside.",
  ),
  survives: z.enum(["vm", "rack", "zone"]).default("zone").describe(
    "The largest further loss that the services must survive while a wave is out.",
  ),
  riskShare: z.number().min(0).max(1).default(0).describe(
    "Share of a service's remaining budget that the worst further loss may spend while a wave is out; 0 leaves no need unserved.",
  ),
  repairMs: DurationMs.default(86_400_000).describe(
    "Time within which a lost VM is replaced; what stays must carry the need of this time.",
  ),
  canary: z.number().int().positive().default(1).describe(
    "VMs in the first wave of a round.",
  ),
  bakeMs: DurationMs.default(60_000).describe(
    "How long a wave's VMs must stay healthy before the next wave.",
  ),
  maxWidth: z.number().int().positive().default(64).describe(
    "Most VMs in one wave.",
  ),
  drainTimeoutMs: DurationMs.default(600_000).describe(
    "A drain that takes longer is put off.",
  ),
  rebootTimeoutMs: DurationMs.default(900_000).describe(
    "A VM that does not return within this time counts as failed.",
  ),
});
export type Maintenance = z.infer<typeof Maintenance>;

/** A team and the resources that its jobs may hold at once. */
export const Team = z.strictObject({
  name: Name.describe("Name of the team."),
  cores: z.number().nonnegative().describe("Cores that its jobs may hold."),
  memoryGb: z.number().nonnegative().describe("Memory that its jobs may hold."),
  accelerators: z.number().int().nonnegative().default(0).describe(
    "Accelerators that its jobs may hold.",
  ),
});
export type Team = z.infer<typeof Team>;

export const Rules = z.strictObject({
  services: z.array(Service).default([]).describe("Services."),
  sharing: z.array(z.array(Name).min(2)).default([]).describe(
    "Groups of services that may share the VMs of one pool.",
  ),
  maintenance: Maintenance.prefault({}).describe("Maintenance waves."),
  teams: z.array(Team).default([]).describe("Quotas of teams."),
  jobs: JobRules.prefault({}).describe("Placement of jobs."),
});
export type Rules = z.infer<typeof Rules>;

/** The default rules, in force before the first change. */
export function emptyRules(): Rules {
  return Rules.parse({});
}

/**
 * Typed failures. Every operation that can fail returns a {@link Fault}, which is sent unchanged over links and HTTP.
 *
 * @module
 */
import { z } from "zod";

/** What is known about the outcome of a request that the system answered itself. */
export const Outcome = z.enum(["not run", "running", "done", "unknown"]);
export type Outcome = z.infer<typeof Outcome>;

/** The HTTP status by kind of failure. */
export const FAULT_STATUS = {
  invalid: 400,
  unauthenticated: 401,
  unknown_service: 404,
  not_found: 404,
  conflict: 409,
  stale_version: 409,
  incomplete: 408,
  too_large: 413,
  key_reused: 422,
  unplaceable: 422,
  fenced: 409,
  over_quota: 429,
  overloaded: 503,
  no_target: 503,
  no_lease: 503,
  no_leader: 503,
  not_leader: 503,
  stopping: 503,
  broken_answer: 502,
  target_lost: 502,
  timeout: 504,
  unreachable: 502,
  expired: 503,
  running: 409,
  unknown_outcome: 409,
  storage: 500,
  internal: 500,
} as const;

export type FaultKind = keyof typeof FAULT_STATUS;

const KINDS = Object.keys(FAULT_STATUS) as [FaultKind, ...FaultKind[]];

/** A failure: its kind, a message that names the offending value, and a remedy where one is known. */
export const Fault = z.object({
  kind: z.enum(KINDS),
  message: z.string(),
  /** Path of the offending value inside the input, for example `vms[3].rack`. */
  path: z.string().optional(),
  remedy: z.string().optional(),
  outcome: Outcome.optional(),
  /** How long the caller should wait before a retry, in milliseconds. */
  retryAfterMs: z.number().int().nonnegative().optional(),
  /** For `over_quota`: how an entry may repeat the fault to the same customer and queue. */
  repeat: z.object({
    /** For how long after the fault was issued, in milliseconds. */
    forMs: z.number().int().nonnegative(),
    /** Marks of the ids of jobs that were accepted and whose submission may be repeated. */
    exceptMarks: z.array(z.string()),
  }).optional(),
  /** The configuration version in force, for `stale_version`. */
  version: z.number().int().optional(),
  /** The id of the current leader, for `not_leader`. */
  leader: z.string().optional(),
  /** All findings, when one input has several. */
  causes: z.array(z.object({ path: z.string(), message: z.string() }))
    .optional(),
});
export type Fault = z.infer<typeof Fault>;

export function fault(
  kind: FaultKind,
  message: string,
  details: Omit<Fault, "kind" | "message"> = {},
): Fault {
  return { kind, message, ...details };
}

/** The HTTP status that reports a fault. */
export function statusOf(kind: FaultKind): number {
  return FAULT_STATUS[kind];
}

/** Whether a fault promises that what was asked for was not done; any other fault leaves the outcome unknown. */
export function isRefusal({ kind, outcome }: Fault): boolean {
  return outcome === "not run" ||
    (outcome !== "unknown" && statusOf(kind) < 500);
}

/**
 * Operations for platform agents and the reports that agents answer with. Every operation is idempotent by its id,
 * carries the leader's term, and is refused by an agent that has seen a higher term.
 *
 * @module
 */
import { z } from "zod";
import { Name } from "../names.ts";
import { RunOutcome } from "./job.ts";
import { Size } from "./size.ts";

const OperationHeader = z.object({
  /** Id of the operation; a resend with the same id has no further effect. */
  id: z.string(),
  vm: Name,
  term: z.number().int(),
  /** The agent's incarnation that the operation is meant for. */
  incarnation: z.number().int(),
  /** Whether an urgent job waits for the answer. */
  urgent: z.boolean(),
});

export const AgentOperation = z.discriminatedUnion("kind", [
  /** Requests a report, renews the leases of `runs` and drops the ended runs in `forget`. */
  OperationHeader.extend({
    kind: z.literal("renew"),
    /** New end of the leases on the agent's clock. */
    until: z.number(),
    runs: z.array(z.string()),
    forget: z.array(z.string()),
    /** How long the agent delays the answer while no run ends, in milliseconds (long polling). */
    waitMs: z.number().int().nonnegative(),
  }),
  OperationHeader.extend({
    kind: z.literal("start"),
    run: z.string(),
    job: z.string(),
    team: Name,
    priority: z.string(),
    size: Size,
    task: z.string(),
    checkpoint: z.string().optional(),
    /** End of the first lease on the agent's clock; an agent whose clock is past it refuses. */
    until: z.number(),
  }),
  /** Checkpoints a run; with `stop`, the run ends after the checkpoint or after the grace period. */
  OperationHeader.extend({
    kind: z.literal("checkpoint"),
    run: z.string(),
    stop: z.boolean(),
    graceMs: z.number(),
  }),
  /** Ends a run. A run that the agent does not know is recorded as stopped and never starts. */
  OperationHeader.extend({ kind: z.literal("stop"), run: z.string() }),
  OperationHeader.extend({
    kind: z.literal("throttle"),
    run: z.string(),
    /** Share of its processors that the run may use. */
    share: z.number(),
  }),
]);
export type AgentOperation = z.infer<typeof AgentOperation>;

export const RunReport = z.object({
  run: z.string(),
  phase: z.enum(["running", "ended"]),
  outcome: RunOutcome.optional(),
  memoryMb: z.number().int(),
  peakMb: z.number().int(),
  millicores: z.number().int(),
  runtimeMs: z.number().int(),
  throttle: z.number(),
  checkpoint: z.string().optional(),
});
export type RunReport = z.infer<typeof RunReport>;

/** The active runs of an agent and the ended ones that it still stores, with usage that is `lagMs` old. */
export const AgentReport = z.object({
  vm: Name,
  /** The highest term that the agent has seen. */
  term: z.number().int(),
  /** Increases each time the agent starts. */
  incarnation: z.number().int(),
  /** Increases with each report of an incarnation. */
  sequence: z.number().int(),
  /** The agent's monotonic clock when it made the report, in milliseconds. */
  clock: z.number(),
  lagMs: z.number(),
  runs: z.array(RunReport),
});
export type AgentReport = z.infer<typeof AgentReport>;

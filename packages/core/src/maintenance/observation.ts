/**
 * Input and output of a decision pass: the leader's observation of the fleet, and the decision with its holds.
 *
 * @module
 */
import { z } from "zod";
import type { Command } from "../state_machine.ts";
import { Name } from "../names.ts";
import type { Reading } from "./budget.ts";

/** What the leader currently observes of one VM. */
export interface VmCondition {
  /** Whether the VM answers: a live target, or its platform agent when it runs no target. */
  live: boolean;
  /** Wall-clock time in milliseconds at which `live` last changed, or at which this leader started. */
  since: number;
  /** Whether this leader has had an answer from the VM; false at first after an election. */
  observed: boolean;
  /** Slots of the live targets on this VM by service. */
  slots: Readonly<Record<string, number>>;
  /**
   * Requests in flight to this VM, summed over all entries. Undefined until every entry with a live lease has counted
   * them at a view that contains the current record of this VM.
   */
  inFlight: number | undefined;
  /** Jobs on this VM that are neither finished nor checkpointed. */
  tasks: number;
  /** Whether the platform agent last reported this VM as drained. */
  platformDrained: boolean;
}

/** A platform agent's answer about an operation. `failed` means that it did not take place and will not. */
export type OperationStatus = "running" | "done" | "failed";

/** The inputs of a decision besides the replicated state and the time. */
export interface Observation {
  /** The highest view revision that every entry with a live lease has applied. */
  revisionInForce: number;
  conditions: ReadonlyMap<string, VmCondition>;
  /** Estimated demand by service in slots, with the time of the newest sample. */
  demands: ReadonlyMap<string, { slots: number; at: number }>;
  /** The latest counters of all entries. */
  readings: readonly Reading[];
  /** The answers of platform agents by operation id. */
  operations: ReadonlyMap<string, OperationStatus>;
}

/** A call to the platform agent of a VM. It is idempotent: an operation takes place at most once. */
export interface AgentCall {
  kind: "drain" | "reboot" | "resume";
  vm: string;
  operation: string;
}

export const HoldRule = z.enum([
  "disabled",
  "round",
  "window",
  "paused",
  "bake",
  "wave",
  "budget",
  "need_unknown",
  "capacity",
  "capacity_unknown",
  "shortfall",
  "observer",
  "postponed",
  "agent",
  "refused",
  "not_serving",
  "width",
  "view",
  "in_flight",
  "reboot",
  "stability",
]);
export type HoldRule = z.infer<typeof HoldRule>;

/** Why a step does not proceed now: the rule, what it applies to, and the figure against its limit. */
export const Hold = z.object({
  rule: HoldRule,
  vm: Name.optional(),
  domain: Name.optional(),
  service: Name.optional(),
  figure: z.number().optional(),
  limit: z.number().optional(),
  message: z.string(),
});
export type Hold = z.infer<typeof Hold>;

/** The result of one decision pass. */
export interface MaintenanceDecision {
  /** Commands to propose, in this order. */
  commands: Command[];
  /** Calls to make; repeated at every pass until the operation has an answer. */
  actions: AgentCall[];
  holds: Hold[];
}

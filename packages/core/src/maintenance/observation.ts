/**
 * What the leader observes of the fleet, and what a decision gives back.
 *
 * @module
 */
import { z } from "zod";
import type { Command } from "../machine.ts";
import { Name } from "../names.ts";
import type { Reading } from "./budget.ts";

/** The condition of one VM as the leader sees it now. */
export interface Condition {
  /** Whether the VM answers: a live target, or its platform agent when it runs no target. */
  live: boolean;
  /** Wall-clock time at which `live` last changed; the start of this leader when it never did. */
  since: number;
  /** Slots of the live targets on this VM, by service. */
  slots: Readonly<Record<string, number>>;
  /**
   * Requests in flight to this VM, summed over all entries. Undefined unless every entry with a live lease counted
   * them at a view that holds the current record of this VM.
   */
  inFlight: number | undefined;
  /** Jobs on this VM that are neither finished nor checkpointed. */
  tasks: number;
  /** Whether the platform agent last reported this VM as drained. */
  platformDrained: boolean;
}

/** What a platform agent answered about an operation. `failed` means that it did not take place and will not. */
export type OperationStatus = "running" | "done" | "failed";

/** Everything that a decision depends on besides the replicated state. */
export interface Observation {
  /** The highest revision that every entry with a live lease runs. */
  revisionInForce: number;
  conditions: ReadonlyMap<string, Condition>;
  /** Estimated need by service, in slots, with the time of the newest sample. */
  needs: ReadonlyMap<string, { slots: number; at: number }>;
  /** The latest counters of all entries. */
  readings: readonly Reading[];
  /** The answers of platform agents by operation id. */
  operations: ReadonlyMap<string, OperationStatus>;
}

/** A call to the platform agent of a VM. It is idempotent: the same operation takes place at most once. */
export interface Action {
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

/** Why something does not go on now: the rule, what it applies to, and the figure against its limit. */
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

/** The result of one pass. */
export interface Decision {
  /** Commands to propose, in this order. */
  commands: Command[];
  /** Calls to make; they are given again at every pass until the operation has an answer. */
  actions: Action[];
  holds: Hold[];
}

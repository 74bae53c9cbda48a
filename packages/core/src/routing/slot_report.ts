/**
 * What entries and the leader tell each other about slots, as parts of the entry lease renewal.
 *
 * @module
 */
import { z } from "zod";

/** What one entry needs of one service. */
export const SlotNeed = z.object({
  /** Mean number of slots that urgent and live callers ask for, whether they were served or refused. */
  live: z.number().nonnegative(),
  /** Overnight requests in flight and waiting. */
  overnight: z.number().int().nonnegative(),
  /** Requests that wait now. */
  waiting: z.number().int().nonnegative(),
  /** The longest run seen lately, in milliseconds. */
  longestRunMs: z.number().nonnegative(),
});
export type SlotNeed = z.infer<typeof SlotNeed>;

/** An entry's report, sent with each lease renewal. */
export const SlotReport = z.object({
  entry: z.string(),
  /** Increases with each start of the entry's process. */
  incarnation: z.number().int(),
  /** Time since the process started, in milliseconds; what ran before that is not in the report. */
  ageMs: z.number().nonnegative(),
  /** Increases with each report of one incarnation. */
  number: z.number().int(),
  /** Epoch of the leader that the report is sent to, for example its term. */
  epoch: z.number().int(),
  /** Epoch and sequence of the last grant that was applied. */
  applied: z.object({ epoch: z.number().int(), sequence: z.number().int() }),
  needs: z.record(z.string(), SlotNeed),
  /**
   * Slots held, which are those allowed or in use, whichever is more: of every target when the applied grant is from
   * another epoch, else only of the targets at which more are in use than allowed.
   */
  held: z.record(z.string(), z.number().int().positive()),
});
export type SlotReport = z.infer<typeof SlotReport>;

/** The leader's answer to a report: the slots that changed. */
export const SlotGrant = z.object({
  epoch: z.number().int(),
  sequence: z.number().int(),
  /** Sequence of the grant that this one changes; 0 replaces everything. */
  base: z.number().int(),
  /** Slots for each target that changed; with base 0, for every target with slots. */
  slots: z.record(z.string(), z.number().int().nonnegative()),
});
export type SlotGrant = z.infer<typeof SlotGrant>;

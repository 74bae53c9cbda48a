/**
 * Messages between entries and the leader about slots; they are parts of the lease renewal.
 *
 * @module
 */
import { z } from "zod";

/** Need of one entry for slots of one service. */
export const SlotNeed = z.object({
  /** Mean number of slots that urgent and live requests need, whether served or refused. */
  live: z.number().nonnegative(),
  /** Overnight requests, in flight and queued. */
  overnight: z.number().int().nonnegative(),
  /** Requests queued now. */
  waiting: z.number().int().nonnegative(),
  /** Decayed maximum of the run times, in milliseconds. */
  longestRunMs: z.number().nonnegative(),
});
export type SlotNeed = z.infer<typeof SlotNeed>;

/** An entry's report, sent with each lease renewal. */
export const SlotReport = z.object({
  entry: z.string(),
  /** Increases with each start of the entry's process. */
  incarnation: z.number().int(),
  /** Age of the process in milliseconds; the report does not cover requests of an earlier process of the entry. */
  ageMs: z.number().nonnegative(),
  /** Increases with each report of one incarnation. */
  number: z.number().int(),
  /** Epoch of the leader that the report is sent to, which is its term. */
  epoch: z.number().int(),
  /** Epoch and sequence of the last applied grant. */
  applied: z.object({ epoch: z.number().int(), sequence: z.number().int() }),
  needs: z.record(z.string(), SlotNeed),
  /**
   * Slots held per target: the maximum of those allowed and those in use. All targets are listed when the applied grant
   * is from another epoch; otherwise only targets with more slots in use than allowed.
   */
  held: z.record(z.string(), z.number().int().positive()),
});
export type SlotReport = z.infer<typeof SlotReport>;

/** The leader's answer to a report: the slots that changed. */
export const SlotGrant = z.object({
  epoch: z.number().int(),
  sequence: z.number().int(),
  /** Sequence of the grant that this one builds on; 0 for a full replacement. */
  base: z.number().int(),
  /** Slots per changed target; with base 0, per target with any slots. */
  slots: z.record(z.string(), z.number().int().nonnegative()),
});
export type SlotGrant = z.infer<typeof SlotGrant>;

/**
 * The messages by which an entry renews its lease at the leader. One exchange carries the lease, the view, the table
 * of targets and the entry's report.
 *
 * @module
 */
import { z } from "zod";
import { Announcement } from "../announcement.ts";
import { Name } from "../names.ts";
import { SlotGrant, SlotReport } from "../routing/mod.ts";
import { deltaOf } from "./delta_map.ts";
import { ViewDelta } from "./view.ts";

export const Renewal = z.object({
  entry: Name,
  zone: Name,
  /** Start of the entry process; a restarted entry has a higher one. */
  incarnation: z.number().int(),
  /** Revision of the entry's view, -1 for none. */
  revision: z.number().int(),
  /** Term of the leader whose table copy the entry holds. */
  tableTerm: z.number().int(),
  /** Version of that copy. */
  tableVersion: z.number().int(),
  /** Targets that announce themselves to this entry: what changed since the leader's acknowledgement. */
  announced: deltaOf(Announcement),
  /** Requests in progress on VMs that are not serving. */
  inFlight: z.record(z.string(), z.number().int()),
  /** Whether the entry is in a planned stop. */
  stopping: z.boolean(),
  /** Use of each service; finished, refused and failed count from the start of the process. */
  usage: z.record(
    z.string(),
    z.object({
      inFlight: z.number().int(),
      queued: z.number().int(),
      finished: z.number().int(),
      refused: z.number().int(),
      failed: z.number().int(),
    }),
  ),
  /** Targets that this entry has ejected. */
  unhealthy: z.array(z.string()),
  /** Slots that the entry holds and needs. */
  slots: SlotReport,
});
export type Renewal = z.infer<typeof Renewal>;

export const Grant = z.object({
  term: z.number().int(),
  leader: Name,
  /** Duration from the moment the entry sent the renewal. */
  leaseMs: z.number().int(),
  view: ViewDelta,
  targets: deltaOf(Announcement),
  /** Whether every entry that holds a lease has reported its targets to this leader. */
  targetsComplete: z.boolean(),
  /** Slots granted to the entry; absent when its report was out of order. */
  slots: SlotGrant.optional(),
  /** Version of the entry's announcements that the leader holds. */
  announcedVersion: z.number().int(),
});
export type Grant = z.infer<typeof Grant>;

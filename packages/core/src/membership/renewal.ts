/**
 * Messages by which an entry renews its lease at the leader. One exchange carries the lease, view changes, target
 * table changes and the entry's report.
 *
 * @module
 */
import { z } from "zod";
import { Announcement } from "../announcement.ts";
import { Name } from "../names.ts";
import { SlotGrant, SlotReport } from "../routing/mod.ts";
import { deltaOf } from "./delta_map.ts";
import { ViewDelta } from "./view.ts";

/** A lease renewal with the entry's report. */
export const Renewal = z.object({
  entry: Name,
  zone: Name,
  /** Start time of the entry process; increases with each restart. */
  incarnation: z.number().int(),
  /** Revision of the entry's view, -1 for none. */
  revision: z.number().int(),
  /** Term of the leader whose target table the entry has a copy of; 0 for none. */
  tableTerm: z.number().int(),
  /** Version of that copy. */
  tableVersion: z.number().int(),
  /** Changes to the targets that announce themselves to this entry, since the version acknowledged by the leader. */
  announced: deltaOf(Announcement),
  /** Requests in progress on VMs that are not serving. */
  inFlight: z.record(z.string(), z.number().int()),
  /** Whether the entry is shutting down gracefully. */
  stopping: z.boolean(),
  /** Usage per service; `finished`, `refused` and `failed` are counted from the start of the process. */
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
  /** Targets ejected by this entry. */
  unhealthy: z.array(z.string()),
  /** Slots held and needed by the entry. */
  slots: SlotReport,
});
export type Renewal = z.infer<typeof Renewal>;

/** The leader's answer to a renewal. */
export const Grant = z.object({
  term: z.number().int(),
  leader: Name,
  /** Duration of the lease in milliseconds, counted from when the entry sent the renewal. */
  leaseMs: z.number().int(),
  view: ViewDelta,
  targets: deltaOf(Announcement),
  /** Whether every entry with a lease has reported its targets to this leader. */
  targetsComplete: z.boolean(),
  /** Slots granted to the entry; absent when its slot report was out of order or for another epoch. */
  slots: SlotGrant.optional(),
  /** Version of the entry's announcements that the leader has received. */
  announcedVersion: z.number().int(),
});
export type Grant = z.infer<typeof Grant>;

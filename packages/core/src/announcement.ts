/**
 * Announcements of targets. There is no configured list of targets: a target exists while it announces itself.
 *
 * @module
 */
import { z } from "zod";
import { Address, Name } from "./names.ts";

/** One announcement, sent periodically and immediately when the condition changes. */
export const Announcement = z.strictObject({
  /** Name of the target, unique per process, for example `vm-07/intake`. */
  target: z.string().min(1).max(128),
  vm: Name,
  service: Name,
  address: Address,
  slots: z.number().int().positive().default(8),
  connections: z.number().int().positive().default(64),
  condition: z.enum(["serving", "leaving"]).default("serving"),
  /** Increases with each start of the target process. */
  incarnation: z.number().int().nonnegative(),
  /** Increases with each change of the announcement within one incarnation. */
  sequence: z.number().int().nonnegative(),
});
export type Announcement = z.infer<typeof Announcement>;

/** Whether an announcement is newer than another of the same target. */
export function supersedes(next: Announcement, known: Announcement): boolean {
  if (next.incarnation !== known.incarnation) {
    return next.incarnation > known.incarnation;
  }
  return next.sequence > known.sequence;
}

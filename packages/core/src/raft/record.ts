/**
 * What a replica stores: log entries, hard state and snapshots.
 *
 * @module
 */
import { z } from "zod";
import { Member, Membership, ReplicaId } from "./member.ts";
import type { SnapshotText } from "./snapshot_text.ts";

export const LogEntry = z.discriminatedUnion("kind", [
  /** The first entry of a leader's term, which has no effect. */
  z.object({
    kind: z.literal("noop"),
    index: z.number().int(),
    term: z.number().int(),
  }),
  /** A command of the state machine as JSON text. */
  z.object({
    kind: z.literal("command"),
    index: z.number().int(),
    term: z.number().int(),
    data: z.string(),
  }),
  /** The membership from this entry on, in force as soon as it is appended. */
  z.object({
    kind: z.literal("membership"),
    index: z.number().int(),
    term: z.number().int(),
    membership: Membership,
  }),
]);
export type LogEntry = z.infer<typeof LogEntry>;

/** The part of the state that must be synced before any answer that depends on it is sent. */
export const HardState = z.object({
  term: z.number().int(),
  vote: ReplicaId.optional(),
});
export type HardState = z.infer<typeof HardState>;

/** Position and membership of a snapshot, without its data. */
export const SnapshotMetadata = z.object({
  index: z.number().int(),
  term: z.number().int(),
  membership: Membership,
});
export type SnapshotMetadata = z.infer<typeof SnapshotMetadata>;

/** The state machine after the entry at `index`, as lines of JSON. */
export interface Snapshot extends SnapshotMetadata {
  data: SnapshotText;
}

/** The state that a replica reads from its data folder when it starts. */
export interface StoredState {
  hardState: HardState;
  snapshot?: Snapshot;
  /** Entries after the snapshot, without gaps. */
  entries: LogEntry[];
}

/** The stored state of a replica that has not heard from any leader. */
export function emptyStoredState(): StoredState {
  return { hardState: { term: 0 }, entries: [] };
}

/** The stored state of the first voter of a new cluster, written once by `init`. */
export function bootstrapState(first: Omit<Member, "standing">): StoredState {
  const membership = {
    members: [{ ...first, standing: "voter" as const }],
  };
  return {
    hardState: { term: 1 },
    entries: [{ kind: "membership", index: 1, term: 1, membership }],
  };
}

/** Estimated size of an entry in UTF-16 code units. */
export function sizeOf(entry: LogEntry): number {
  const overhead = 64;
  switch (entry.kind) {
    case "noop":
      return overhead;
    case "command":
      return overhead + entry.data.length;
    case "membership":
      return overhead + 128 * entry.membership.members.length;
  }
}

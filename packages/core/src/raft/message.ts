/**
 * Messages between replicas (Ongaro and Ousterhout 2014; pre-vote, read rounds and leadership transfer after Ongaro's
 * thesis). They are sent as JSON.
 *
 * @module
 */
import { z } from "zod";
import { ReplicaId } from "./member.ts";
import { LogEntry, SnapshotMetadata } from "./record.ts";

const envelope = {
  from: ReplicaId,
  to: ReplicaId,
  term: z.number().int(),
};

const voteRequestFields = {
  ...envelope,
  lastIndex: z.number().int(),
  lastTerm: z.number().int(),
};

/** Asks whether the sender could win an election, without starting a new term. `term` is the sender's term plus one. */
export const PreVoteRequest = z.object({
  kind: z.literal("pre_vote"),
  ...voteRequestFields,
});
export type PreVoteRequest = z.infer<typeof PreVoteRequest>;

export const PreVoteAnswer = z.object({
  kind: z.literal("pre_vote_answer"),
  ...envelope,
  granted: z.boolean(),
});
export type PreVoteAnswer = z.infer<typeof PreVoteAnswer>;

export const VoteRequest = z.object({
  kind: z.literal("vote"),
  ...voteRequestFields,
  /** Set when the leader requested the election, so that replicas in contact with it vote nevertheless. */
  transfer: z.boolean(),
});
export type VoteRequest = z.infer<typeof VoteRequest>;

export const VoteAnswer = z.object({
  kind: z.literal("vote_answer"),
  ...envelope,
  granted: z.boolean(),
});
export type VoteAnswer = z.infer<typeof VoteAnswer>;

export const AppendRequest = z.object({
  kind: z.literal("append"),
  ...envelope,
  previousIndex: z.number().int(),
  previousTerm: z.number().int(),
  entries: z.array(LogEntry),
  commit: z.number().int(),
});
export type AppendRequest = z.infer<typeof AppendRequest>;

/** One chunk of an entry that is too large for a message, a command. */
export const EntryChunkRequest = z.object({
  kind: z.literal("entry_chunk"),
  ...envelope,
  previousIndex: z.number().int(),
  previousTerm: z.number().int(),
  entry: z.object({ index: z.number().int(), term: z.number().int() }),
  offset: z.number().int(),
  chunk: z.string(),
  last: z.boolean(),
  commit: z.number().int(),
});
export type EntryChunkRequest = z.infer<typeof EntryChunkRequest>;

/** Answers a chunk after which others are needed; the last one is answered like an append. */
export const EntryChunkAnswer = z.object({
  kind: z.literal("entry_chunk_answer"),
  ...envelope,
  index: z.number().int(),
  /** The offset that the follower needs next. */
  offset: z.number().int(),
});
export type EntryChunkAnswer = z.infer<typeof EntryChunkAnswer>;

export const AppendAnswer = z.object({
  kind: z.literal("append_answer"),
  ...envelope,
  accepted: z.boolean(),
  /** The last matching index, or the previous index that was rejected. */
  index: z.number().int(),
  /** For a rejection: the last index at which both logs may still agree, and its term. */
  hintIndex: z.number().int(),
  hintTerm: z.number().int(),
});
export type AppendAnswer = z.infer<typeof AppendAnswer>;

export const Heartbeat = z.object({
  kind: z.literal("heartbeat"),
  ...envelope,
  commit: z.number().int(),
  /** Number of the latest read round. */
  round: z.number().int(),
});
export type Heartbeat = z.infer<typeof Heartbeat>;

export const HeartbeatAnswer = z.object({
  kind: z.literal("heartbeat_answer"),
  ...envelope,
  round: z.number().int(),
});
export type HeartbeatAnswer = z.infer<typeof HeartbeatAnswer>;

/** One chunk of a snapshot. */
export const SnapshotRequest = z.object({
  kind: z.literal("snapshot"),
  ...envelope,
  head: SnapshotMetadata,
  offset: z.number().int(),
  chunk: z.string(),
  last: z.boolean(),
});
export type SnapshotRequest = z.infer<typeof SnapshotRequest>;

export const SnapshotAnswer = z.object({
  kind: z.literal("snapshot_answer"),
  ...envelope,
  index: z.number().int(),
  /** The offset that the follower needs next. */
  offset: z.number().int(),
  installed: z.boolean(),
});
export type SnapshotAnswer = z.infer<typeof SnapshotAnswer>;

/** Tells a voter to start an election at once. */
export const TimeoutNow = z.object({
  kind: z.literal("timeout_now"),
  ...envelope,
});
export type TimeoutNow = z.infer<typeof TimeoutNow>;

export const RaftMessage = z.discriminatedUnion("kind", [
  PreVoteRequest,
  PreVoteAnswer,
  VoteRequest,
  VoteAnswer,
  AppendRequest,
  AppendAnswer,
  EntryChunkRequest,
  EntryChunkAnswer,
  Heartbeat,
  HeartbeatAnswer,
  SnapshotRequest,
  SnapshotAnswer,
  TimeoutNow,
]);
export type RaftMessage = z.infer<typeof RaftMessage>;

/**
 * The state of one replica and the transitions that all roles share.
 *
 * @module
 */
import type { Log } from "./log.ts";
import { memberOf, type ReplicaId, votersOf } from "./member.ts";
import type { PreVoteRequest, RaftMessage } from "./message.ts";
import type { Progress, SendWindow } from "./progress.ts";
import type { ReadQueue } from "./reads.ts";
import type { HardState, Snapshot } from "./record.ts";

/** Timing and limits of the group; the same on all replicas. Sizes are in UTF-16 code units. */
export interface RaftTuning {
  /** Longest time without a message from the leader to a follower. */
  heartbeatMs: number;
  /** Minimum election timeout; the actual one is random, up to twice as long. */
  electionMs: number;
  /** How long a leader may rely on a round that a quorum confirmed, from the start of the round; below `electionMs`. */
  leaseMs: number;
  /** Number of entries in memory above which a compaction is due. */
  maxLogEntries: number;
  /** Size of the entries in memory above which a compaction is due. */
  maxLogSize: number;
  /** Number of entries kept after a compaction for followers that are slightly behind. */
  trailingEntries: number;
  /** Limit on the size of the entries that are not yet both committed and synced at the leader. */
  maxBacklogSize: number;
  /** Limits on the appends in flight to one replica. */
  window: SendWindow;
  /** Limit on the size of the entries in one append; a larger entry is sent alone. */
  maxAppendSize: number;
  /** Size of an entry above which it is sent in chunks. */
  maxEntrySize: number;
  /** Length of a chunk of a snapshot or an entry. */
  chunkLength: number;
}

export const DEFAULT_TUNING: RaftTuning = {
  heartbeatMs: 250,
  electionMs: 1_000,
  leaseMs: 500,
  maxLogEntries: 4_096,
  maxLogSize: 4_194_304,
  trailingEntries: 256,
  maxBacklogSize: 4_194_304,
  window: { messages: 64, size: 1_048_576 },
  maxAppendSize: 65_536,
  maxEntrySize: 1_048_576,
  chunkLength: 65_536, // keeps a message below 256 KB as UTF-8 in JSON
};

export type RaftRole = "follower" | "pre_candidate" | "candidate" | "leader";

/** State that only a leader has. Times are in milliseconds. */
export interface Leadership {
  progress: Map<ReplicaId, Progress>;
  reads: ReadQueue;
  startedAt: number;
  /** Index of the no-op that started the term. */
  firstIndex: number;
  transfer: { to: ReplicaId; deadline: number } | undefined;
  /** Last index before the backlog: committed and synced on this replica, or appended before it became leader. */
  backlogBase: number;
  /** Size of the entries after `backlogBase`, in UTF-16 code units. */
  backlogSize: number;
}

/** A snapshot of which some chunks have arrived. */
export interface PartialSnapshot {
  /** Two leaders may serialize the same state differently, so chunks are not mixed across terms. */
  leaderTerm: number;
  index: number;
  chunks: string[];
  offset: number;
}

/** An entry of which some chunks have arrived. */
export interface PartialEntry {
  index: number;
  /** Term of the entry; entries of one index and term are equal, whoever sends them. */
  term: number;
  chunks: string[];
  offset: number;
}

/** Output that the driver has not taken yet. */
export interface Outbox {
  messages: RaftMessage[];
  messagesAfterSync: RaftMessage[];
  hardStateChanged: boolean;
  installed: Snapshot | undefined;
  /** Index of the first entry to be stored, if any. */
  unsavedFrom: number | undefined;
  reads: { context: string; index: number }[];
  lostReads: string[];
}

/** The write of an output that the driver has not yet reported as synced. */
export interface PendingWrite {
  id: number;
  lastIndex: number;
  lastTerm: number;
  term: number;
  vote: ReplicaId | undefined;
}

/** The whole state of one replica. Times are in milliseconds on the driver's monotonic clock. */
export interface Replica {
  readonly id: ReplicaId;
  readonly tuning: RaftTuning;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number;
  readonly log: Log;
  now: number;
  role: RaftRole;
  hardState: HardState;
  leader: ReplicaId | undefined;
  /** When a message from the leader last arrived. */
  leaderContactAt: number;
  /** Whether a leader has sent a message to this process. */
  hasHeardLeader: boolean;
  /** When the next election starts. */
  electionAt: number;
  /** Voters that granted and refused their vote in the current pre-vote or election. */
  granted: Set<ReplicaId>;
  refused: Set<ReplicaId>;
  /** Pre-votes that are answered when no leader can hold a lease by an answer of an earlier process, by candidate. */
  heldPreVotes: Map<ReplicaId, PreVoteRequest>;
  leadership: Leadership | undefined;
  commit: number;
  /** Last index that is synced on this replica. */
  stable: number;
  /** Last index that was put into an output to be applied. */
  applied: number;
  partialSnapshot: PartialSnapshot | undefined;
  partialEntry: PartialEntry | undefined;
  outbox: Outbox;
  pendingWrites: PendingWrite[];
  /** Number of outputs taken. */
  outputCount: number;
}

export function emptyOutbox(): Outbox {
  return {
    messages: [],
    messagesAfterSync: [],
    hardStateChanged: false,
    installed: undefined,
    unsavedFrom: undefined,
    reads: [],
    lostReads: [],
  };
}

/** The kinds of message that a replica may send before its own writes are synced. */
const IMMEDIATE_MESSAGE_KINDS: ReadonlySet<RaftMessage["kind"]> = new Set([
  "pre_vote",
  "pre_vote_answer",
  "append",
  "heartbeat",
  "snapshot",
  "timeout_now",
]);

/** Queues a message; answers and vote requests wait until the writes before them are synced. */
export function send(replica: Replica, message: RaftMessage): void {
  const { messages, messagesAfterSync } = replica.outbox;
  const queue = IMMEDIATE_MESSAGE_KINDS.has(message.kind)
    ? messages
    : messagesAfterSync;
  queue.push(message);
}

/** The fields that all messages of a replica share. */
export function envelope(
  replica: Replica,
  to: ReplicaId,
): { from: ReplicaId; to: ReplicaId; term: number } {
  return { from: replica.id, to, term: replica.hardState.term };
}

export function setHardState(replica: Replica, hardState: HardState): void {
  replica.hardState = hardState;
  replica.outbox.hardStateChanged = true;
}

/** Marks the entries from an index on as not yet stored. */
export function markUnsaved(replica: Replica, from: number): void {
  const { outbox } = replica;
  outbox.unsavedFrom = Math.min(outbox.unsavedFrom ?? from, from);
  replica.stable = Math.min(replica.stable, from - 1);
}

/** Raises the commit index, at most to the end of the log; it never decreases. */
export function commitTo(replica: Replica, index: number): void {
  const bounded = Math.min(index, replica.log.last.index);
  replica.commit = Math.max(replica.commit, bounded);
}

/**
 * Schedules the next election. A process that has heard no leader since it started tries after some heartbeats: the
 * leader may have been lost with the process, as when all machines lose power. If there is one after all, the voters in
 * contact with it refuse the pre-vote.
 */
export function resetElectionTimer(replica: Replica): void {
  const { hasHeardLeader, tuning } = replica;
  scheduleElection(
    replica,
    hasHeardLeader ? tuning.electionMs : tuning.heartbeatMs,
  );
}

/** Schedules the next election after a random time from a timeout up to twice as long. */
export function scheduleElection(replica: Replica, timeoutMs: number): void {
  replica.electionAt = replica.now + timeoutMs * (1 + replica.random());
}

/** Becomes a follower, in a new term if it is higher. */
export function becomeFollower(
  replica: Replica,
  next: { term: number; leader?: ReplicaId },
): void {
  if (next.term > replica.hardState.term) {
    setHardState(replica, { term: next.term });
  }
  const contexts = replica.leadership?.reads.removeAll() ?? [];
  replica.outbox.lostReads.push(...contexts);
  replica.leadership = undefined;
  replica.role = "follower";
  replica.leader = next.leader;
  resetElectionTimer(replica);
}

/** Records a message from the leader of the current term. */
export function recordLeaderContact(replica: Replica, leader: ReplicaId): void {
  if (replica.role !== "follower") {
    becomeFollower(replica, { term: replica.hardState.term, leader });
  }
  replica.leader = leader;
  replica.leaderContactAt = replica.now;
  replica.hasHeardLeader = true;
  resetElectionTimer(replica);
}

/** Whether a leader was in contact so recently that no election is due (check-quorum, thesis section 6.4.1). */
export function hasRecentLeader(replica: Replica): boolean {
  if (replica.role === "leader") {
    return true;
  }
  return replica.now - replica.leaderContactAt < replica.tuning.electionMs;
}

export function isVoter(replica: Replica): boolean {
  const { id, log } = replica;
  return memberOf(log.membership, id)?.standing === "voter";
}

/** Whether a predicate holds for a majority of the voters. */
export function isQuorum(
  replica: Replica,
  has: (id: ReplicaId) => boolean,
): boolean {
  const voters = votersOf(replica.log.membership);
  return voters.filter(has).length > voters.length / 2;
}

/** Whether a replica has answered this leader within the minimum election timeout. */
export function isInContact(replica: Replica, id: ReplicaId): boolean {
  if (id === replica.id) {
    return true;
  }
  const progress = replica.leadership?.progress.get(id);
  return progress !== undefined &&
    replica.now - progress.contactAt < replica.tuning.electionMs;
}

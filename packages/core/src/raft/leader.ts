/**
 * The leader role: replication, commitment, check-quorum and leadership transfer (Ongaro's thesis, sections 3.5, 3.6,
 * 3.10 and 6.2).
 *
 * @module
 */
import { memberOf, type ReplicaId, votersOf } from "./member.ts";
import type {
  AppendAnswer,
  EntryChunkAnswer,
  HeartbeatAnswer,
  SnapshotAnswer,
} from "./message.ts";
import { continueAt, Progress } from "./progress.ts";
import { ReadQueue } from "./reads.ts";
import { type LogEntry, sizeOf } from "./record.ts";
import {
  becomeFollower,
  commitTo,
  envelope,
  isInContact,
  isQuorum,
  isVoter,
  type Leadership,
  markUnsaved,
  type Replica,
  send,
} from "./replica.ts";
import { flushReads, sendHeartbeat } from "./replication.ts";

/** Becomes the leader of the current term and appends its no-op entry. */
export function becomeLeader(replica: Replica): void {
  replica.role = "leader";
  replica.leader = replica.id;
  const { last } = replica.log;
  replica.leadership = {
    progress: new Map(),
    reads: new ReadQueue(),
    startedAt: replica.now,
    firstIndex: last.index + 1,
    transfer: undefined,
    backlogBase: last.index,
    backlogSize: 0,
  };
  updateProgressMap(replica);
  appendAsLeader(replica, { kind: "noop", ...nextPosition(replica) });
}

/** Index and term of the next entry of the leader. */
export function nextPosition(
  replica: Replica,
): { index: number; term: number } {
  return {
    index: replica.log.last.index + 1,
    term: replica.hardState.term,
  };
}

/** Appends an entry to the leader's log; it is sent when the driver takes the output. */
export function appendAsLeader(replica: Replica, entry: LogEntry): void {
  replica.log.append(entry);
  markUnsaved(replica, entry.index);
  if (replica.leadership !== undefined) {
    replica.leadership.backlogSize += sizeOf(entry);
  }
  if (entry.kind === "membership") {
    updateProgressMap(replica);
  }
}

/** Adds the progress of new members and deletes that of removed ones. */
function updateProgressMap(replica: Replica): void {
  const { log, leadership, id } = replica;
  if (leadership === undefined) {
    return;
  }
  for (const { replica: other } of log.membership.members) {
    if (other !== id && !leadership.progress.has(other)) {
      const start = {
        next: log.last.index + 1,
        window: replica.tuning.window,
      };
      const progress = new Progress(other, start, replica.now);
      leadership.progress.set(other, progress);
    }
  }
  for (const other of leadership.progress.keys()) {
    if (memberOf(log.membership, other) === undefined) {
      leadership.progress.delete(other);
    }
  }
}

/** Steps down if no quorum is in contact; ends an overdue transfer; sends the heartbeats that are due. */
export function tickLeader(replica: Replica, leadership: Leadership): void {
  const leadingMs = replica.now - leadership.startedAt;
  if (
    leadingMs >= replica.tuning.electionMs &&
    !isQuorum(replica, (id) => isInContact(replica, id))
  ) {
    becomeFollower(replica, { term: replica.hardState.term });
    return;
  }
  const { transfer } = leadership;
  if (transfer !== undefined && replica.now >= transfer.deadline) {
    leadership.transfer = undefined;
  }
  for (const progress of leadership.progress.values()) {
    if (replica.now - progress.sentAt >= replica.tuning.heartbeatMs) {
      sendHeartbeat(replica, progress);
    }
    pauseUnresponsive(replica, progress);
  }
}

/** Sends only heartbeats to a replica that is out of contact, so that no appends queue up on its connection. */
function pauseUnresponsive(replica: Replica, progress: Progress): void {
  if (progress.mode !== "probe" && !isInContact(replica, progress.replica)) {
    progress.probe(progress.match + 1);
    progress.isProbePaused = true;
  }
}

export function handleAppendAnswer(
  replica: Replica,
  answer: AppendAnswer,
): void {
  const progress = recordContact(replica, answer.from);
  if (progress === undefined) {
    return;
  }
  if (answer.accepted) {
    progress.recordAccepted(answer.index);
    advanceCommit(replica);
    continueTransfer(replica);
  } else {
    handleRejection(replica, progress, answer);
  }
}

function handleRejection(
  replica: Replica,
  progress: Progress,
  { index, hintIndex, hintTerm }: AppendAnswer,
): void {
  const stale = progress.mode === "replicate"
    ? index <= progress.match
    : progress.mode === "snapshot" || index !== progress.next - 1;
  if (!stale) {
    const agreed = replica.log.lastWithTermAtMost(hintIndex, hintTerm);
    progress.probe(Math.min(index, agreed.index + 1));
  }
}

export function handleHeartbeatAnswer(
  replica: Replica,
  answer: HeartbeatAnswer,
): void {
  const progress = recordContact(replica, answer.from);
  if (progress === undefined) {
    return;
  }
  progress.confirmedRound = Math.max(progress.confirmedRound, answer.round);
  progress.isProbePaused = false;
  progress.retryChunk(replica.now - replica.tuning.heartbeatMs);
  progress.isVerificationDue = progress.mode === "replicate" &&
    progress.match < progress.next - 1;
  flushReads(replica);
}

export function handleSnapshotAnswer(
  replica: Replica,
  answer: SnapshotAnswer,
): void {
  const progress = recordContact(replica, answer.from);
  const transmission = progress?.transmission;
  if (
    progress === undefined || transmission === undefined ||
    transmission.snapshot.index !== answer.index
  ) {
    return;
  }
  if (answer.installed) {
    progress.match = Math.max(progress.match, answer.index);
    progress.probe(progress.match + 1);
    advanceCommit(replica);
  } else {
    continueAt(transmission, answer.offset);
  }
}

export function handleEntryChunkAnswer(
  replica: Replica,
  answer: EntryChunkAnswer,
): void {
  const transmission = recordContact(replica, answer.from)?.entryTransmission;
  if (transmission?.index === answer.index) {
    continueAt(transmission, answer.offset);
  }
}

function recordContact(
  replica: Replica,
  from: ReplicaId,
): Progress | undefined {
  const progress = replica.leadership?.progress.get(from);
  if (progress !== undefined) {
    progress.contactAt = replica.now;
  }
  return progress;
}

/** Commits up to the highest index that a majority of the voters has synced, if its entry is of the current term. */
export function advanceCommit(replica: Replica): void {
  const { leadership, log } = replica;
  if (leadership === undefined) {
    return;
  }
  const index = quorumMatch(replica, leadership);
  if (index > replica.commit && log.termAt(index) === replica.hardState.term) {
    commitTo(replica, index);
    flushReads(replica);
    stepDownIfRemoved(replica, leadership);
  }
  shrinkBacklog(replica, leadership);
}

/** Removes the entries that are both committed and synced on this replica from the backlog. */
function shrinkBacklog(replica: Replica, leadership: Leadership): void {
  const syncedCommit = Math.min(replica.commit, replica.stable);
  const count = syncedCommit - leadership.backlogBase;
  if (count <= 0) {
    return;
  }
  for (const entry of replica.log.slice(leadership.backlogBase + 1, count)) {
    leadership.backlogSize -= sizeOf(entry);
  }
  leadership.backlogBase = syncedCommit;
}

/** The highest index that a majority of the voters has synced. */
function quorumMatch(replica: Replica, leadership: Leadership): number {
  const matches = votersOf(replica.log.membership).map((id) =>
    id === replica.id ? replica.stable : leadership.progress.get(id)?.match ?? 0
  );
  matches.sort((a, b) => b - a);
  return matches[Math.floor(matches.length / 2)] ?? 0;
}

/** Steps down when this leader's removal is committed, and tells the most up-to-date voter to start an election. */
function stepDownIfRemoved(replica: Replica, leadership: Leadership): void {
  if (isVoter(replica) || replica.commit < replica.log.membershipIndex) {
    return;
  }
  const voters = [...leadership.progress.values()].filter((progress) =>
    memberOf(replica.log.membership, progress.replica)?.standing === "voter"
  );
  voters.sort((a, b) => b.match - a.match);
  const successor = voters[0];
  if (successor !== undefined) {
    sendHeartbeat(replica, successor);
    send(replica, {
      kind: "timeout_now",
      ...envelope(replica, successor.replica),
    });
  }
  becomeFollower(replica, { term: replica.hardState.term });
}

/** Tells the target of a transfer to start its election once it holds the whole log. */
export function continueTransfer(replica: Replica): void {
  const transfer = replica.leadership?.transfer;
  if (transfer === undefined) {
    return;
  }
  const progress = replica.leadership?.progress.get(transfer.to);
  if (progress?.match === replica.log.last.index) {
    send(replica, { kind: "timeout_now", ...envelope(replica, transfer.to) });
  }
}

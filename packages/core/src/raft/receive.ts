/**
 * Handling of messages by their term (Ongaro's thesis, sections 3.3 and 9.6).
 *
 * @module
 */
import {
  handlePreVote,
  handlePreVoteAnswer,
  handleVote,
  handleVoteAnswer,
  startElection,
} from "./election.ts";
import {
  handleAppend,
  handleEntryChunk,
  handleHeartbeat,
  handleSnapshot,
} from "./follower.ts";
import {
  handleAppendAnswer,
  handleEntryChunkAnswer,
  handleHeartbeatAnswer,
  handleSnapshotAnswer,
} from "./leader.ts";
import type { RaftMessage } from "./message.ts";
import {
  becomeFollower,
  envelope,
  hasRecentLeader,
  isVoter,
  type Replica,
  send,
} from "./replica.ts";

/** Handles one message. */
export function receive(replica: Replica, message: RaftMessage): void {
  const { term } = replica.hardState;
  if (message.to !== replica.id || isDisruptiveVote(replica, message)) {
    return;
  }
  if (message.term < term) {
    rejectStaleTerm(replica, message);
    return;
  }
  if (message.term > term && !carriesProspectiveTerm(message)) {
    const leader = isFromLeader(message) ? message.from : undefined;
    becomeFollower(replica, { term: message.term, leader });
  }
  dispatch(replica, message);
}

/** Whether the message starts an election that the leader did not request while this replica is in contact with it. */
function isDisruptiveVote(replica: Replica, message: RaftMessage): boolean {
  return message.kind === "vote" && !message.transfer &&
    message.term > replica.hardState.term && hasRecentLeader(replica);
}

/** Whether the message carries the term that would follow an election, not one that a replica has entered. */
function carriesProspectiveTerm(message: RaftMessage): boolean {
  return message.kind === "pre_vote" ||
    (message.kind === "pre_vote_answer" && message.granted);
}

function isFromLeader(message: RaftMessage): boolean {
  return message.kind === "append" || message.kind === "heartbeat" ||
    message.kind === "snapshot" || message.kind === "entry_chunk";
}

/** Answers a deposed leader or a pre-candidate of an old term with the current term. */
function rejectStaleTerm(replica: Replica, message: RaftMessage): void {
  if (isFromLeader(message)) {
    send(replica, {
      kind: "heartbeat_answer",
      ...envelope(replica, message.from),
      round: 0,
    });
  } else if (message.kind === "pre_vote") {
    handlePreVote(replica, message);
  }
}

function dispatch(replica: Replica, message: RaftMessage): void {
  switch (message.kind) {
    case "pre_vote":
      return handlePreVote(replica, message);
    case "pre_vote_answer":
      return handlePreVoteAnswer(replica, message);
    case "vote":
      return handleVote(replica, message);
    case "vote_answer":
      return handleVoteAnswer(replica, message);
    case "append":
      return handleAppend(replica, message);
    case "append_answer":
      return handleAppendAnswer(replica, message);
    case "entry_chunk":
      return handleEntryChunk(replica, message);
    case "entry_chunk_answer":
      return handleEntryChunkAnswer(replica, message);
    case "heartbeat":
      return handleHeartbeat(replica, message);
    case "heartbeat_answer":
      return handleHeartbeatAnswer(replica, message);
    case "snapshot":
      return handleSnapshot(replica, message);
    case "snapshot_answer":
      return handleSnapshotAnswer(replica, message);
    case "timeout_now":
      return handleTimeoutNow(replica);
  }
}

/** Starts an election that the leader requested, without a pre-vote. */
function handleTimeoutNow(replica: Replica): void {
  if (isVoter(replica) && replica.role === "follower") {
    startElection(replica, { transfer: true });
  }
}

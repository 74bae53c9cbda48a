/**
 * Elections with pre-vote (Ongaro's thesis, sections 3.4 and 9.6).
 *
 * @module
 */
import { becomeLeader } from "./leader.ts";
import { type ReplicaId, votersOf } from "./member.ts";
import type {
  PreVoteAnswer,
  PreVoteRequest,
  VoteAnswer,
  VoteRequest,
} from "./message.ts";
import {
  becomeFollower,
  envelope,
  hasRecentLeader,
  isQuorum,
  isVoter,
  type Replica,
  resetElectionTimer,
  scheduleElection,
  send,
  setHardState,
} from "./replica.ts";

/** Shortest election of a process that has heard no leader yet, as a share of the election timeout. */
const FIRST_ELECTION_SHARE = 0.5;

/**
 * Starts a pre-vote after the election timeout, or earlier if this replica is the only voter. A leader that has just
 * removed itself may still hold its lease, so that an only voter waits for its end, unless there was never another.
 */
export function tickElection(replica: Replica): void {
  answerHeldPreVotes(replica);
  const { log, role, now, electionAt } = replica;
  if (!isVoter(replica)) {
    if (now >= electionAt) {
      // Without an election, nothing else would tell that the leader is lost or has removed this replica.
      replica.leader = undefined;
    }
    return;
  }
  const isOnlyVoter = votersOf(log.membership).length === 1;
  const mayLeadAlone = isOnlyVoter && role === "follower" &&
    (log.hadOneVoter || !hasRecentLeader(replica));
  if (mayLeadAlone || now >= electionAt) {
    startPreVote(replica);
  }
}

/** Asks the voters whether this replica could win an election. */
function startPreVote(replica: Replica): void {
  replica.role = "pre_candidate";
  resetVotes(replica);
  replica.granted.add(replica.id);
  if (isQuorum(replica, (id) => replica.granted.has(id))) {
    startElection(replica, { transfer: false });
    return;
  }
  const logEnd = lastPosition(replica);
  const term = replica.hardState.term + 1;
  for (const to of otherVoters(replica)) {
    send(replica, {
      kind: "pre_vote",
      ...envelope(replica, to),
      ...logEnd,
      term,
    });
  }
}

/** Starts an election in a new term. This replica's own vote counts once it is synced. */
export function startElection(
  replica: Replica,
  { transfer }: { transfer: boolean },
): void {
  const term = replica.hardState.term + 1;
  setHardState(replica, { term, vote: replica.id });
  replica.role = "candidate";
  resetVotes(replica);
  if (!replica.hasHeardLeader) {
    // Unlike a pre-vote, whose late answers count for the next one, an election needs time for synced votes.
    scheduleElection(replica, replica.tuning.electionMs * FIRST_ELECTION_SHARE);
  }
  const logEnd = lastPosition(replica);
  for (const to of otherVoters(replica)) {
    send(replica, {
      kind: "vote",
      ...envelope(replica, to),
      ...logEnd,
      transfer,
    });
  }
}

function resetVotes(replica: Replica): void {
  replica.leader = undefined;
  replica.granted = new Set();
  replica.refused = new Set();
  resetElectionTimer(replica);
}

function lastPosition(
  replica: Replica,
): { lastIndex: number; lastTerm: number } {
  const { index, term } = replica.log.last;
  return { lastIndex: index, lastTerm: term };
}

function otherVoters(replica: Replica): ReplicaId[] {
  return votersOf(replica.log.membership).filter((id) => id !== replica.id);
}

/**
 * Answers whether a vote would be granted, without changing the state. A process that has just started, and only waits for
 * the end of a lease by its earlier answers, answers then: refused candidates would try again later than that.
 */
export function handlePreVote(replica: Replica, request: PreVoteRequest): void {
  const isEligible = request.term > replica.hardState.term &&
    isUpToDate(replica, request);
  const hasLeader = hasRecentLeader(replica);
  if (isEligible && hasLeader && !replica.hasHeardLeader) {
    replica.heldPreVotes.set(request.from, request);
    return;
  }
  const granted = isEligible && !hasLeader;
  const answer = envelope(replica, request.from);
  const term = granted ? request.term : answer.term;
  send(replica, { kind: "pre_vote_answer", ...answer, term, granted });
}

function answerHeldPreVotes(replica: Replica): void {
  const { heldPreVotes, hasHeardLeader } = replica;
  if (heldPreVotes.size > 0 && (hasHeardLeader || !hasRecentLeader(replica))) {
    const requests = [...heldPreVotes.values()];
    heldPreVotes.clear();
    requests.forEach((request) => handlePreVote(replica, request));
  }
}

/** Counts an answer to this replica's pre-vote. */
export function handlePreVoteAnswer(
  replica: Replica,
  answer: PreVoteAnswer,
): void {
  if (replica.role !== "pre_candidate") {
    return;
  }
  if (answer.granted && answer.term !== replica.hardState.term + 1) {
    return;
  }
  recordVote(replica, answer);
  if (isQuorum(replica, (id) => replica.granted.has(id))) {
    startElection(replica, { transfer: false });
  } else if (isQuorum(replica, (id) => replica.refused.has(id))) {
    becomeFollower(replica, { term: replica.hardState.term });
  }
}

/** Grants at most one vote in a term, to a candidate whose log is up to date. */
export function handleVote(replica: Replica, request: VoteRequest): void {
  const { vote, term } = replica.hardState;
  const canVote = vote === undefined && replica.leader === undefined;
  const granted = (canVote || vote === request.from) &&
    isUpToDate(replica, request);
  if (granted && canVote) {
    setHardState(replica, { term, vote: request.from });
    resetElectionTimer(replica);
  }
  send(replica, {
    kind: "vote_answer",
    ...envelope(replica, request.from),
    granted,
  });
}

function isUpToDate(
  replica: Replica,
  { lastIndex, lastTerm }: { lastIndex: number; lastTerm: number },
): boolean {
  return replica.log.isUpToDate({ index: lastIndex, term: lastTerm });
}

/** Counts an answer to this replica's vote request. */
export function handleVoteAnswer(replica: Replica, answer: VoteAnswer): void {
  if (replica.role === "candidate") {
    recordVote(replica, answer);
    concludeElection(replica);
  }
}

/** Counts this replica's own vote after it was synced. */
export function countOwnVote(replica: Replica): void {
  if (replica.role === "candidate") {
    replica.granted.add(replica.id);
    concludeElection(replica);
  }
}

function recordVote(
  replica: Replica,
  { from, granted }: { from: ReplicaId; granted: boolean },
): void {
  const voters = granted ? replica.granted : replica.refused;
  voters.add(from);
}

function concludeElection(replica: Replica): void {
  if (isQuorum(replica, (id) => replica.granted.has(id))) {
    becomeLeader(replica);
  } else if (isQuorum(replica, (id) => replica.refused.has(id))) {
    becomeFollower(replica, { term: replica.hardState.term });
  }
}

/**
 * Which membership change a group needs next, so that it keeps its number of voters while machines come and go.
 *
 * @module
 */
import type { MembershipChange, ReplicaId } from "./member.ts";

/** A member as the leader sees it. */
export interface MemberView {
  replica: ReplicaId;
  /** Machine that holds the data folder. */
  entry: string;
  isVoter: boolean;
  isCaughtUp: boolean;
  /** How long it has been silent, in milliseconds; 0 for the leader itself. */
  silentMs: number;
}

export interface SuccessionRules {
  voters: number;
  /** Silence after which a voter may be replaced, in milliseconds. */
  lostAfterMs: number;
  /** Silence after which a learner is dropped, in milliseconds. */
  learnerLostAfterMs: number;
}

/**
 * The next single change, or undefined when the group is as wanted. Members are in the order in which they joined. A
 * voter whose machine came back with an empty disk is removed before its successor votes, since its vote is lost.
 */
export function nextMembershipChange(
  members: readonly MemberView[],
  rules: SuccessionRules,
): MembershipChange | undefined {
  const superseded = members.find(({ entry, silentMs }, index) =>
    silentMs > 0 &&
    members.slice(index + 1).some((later) => later.entry === entry)
  );
  if (superseded !== undefined) {
    return { kind: "remove", replica: superseded.replica };
  }
  const voters = members.filter(({ isVoter }) => isVoter);
  const successor = members.find(({ isVoter, isCaughtUp }) =>
    !isVoter && isCaughtUp
  );
  if (successor !== undefined && voters.length < rules.voters) {
    return { kind: "promote", replica: successor.replica };
  }
  const lost = longestSilent(voters, rules.lostAfterMs);
  if (successor !== undefined && lost !== undefined) {
    return { kind: "remove", replica: lost.replica };
  }
  const learners = members.filter(({ isVoter }) => !isVoter);
  const gone = longestSilent(learners, rules.learnerLostAfterMs);
  return gone && { kind: "remove", replica: gone.replica };
}

function longestSilent(
  members: readonly MemberView[],
  afterMs: number,
): MemberView | undefined {
  return members
    .filter(({ silentMs }) => silentMs > afterMs)
    .sort((a, b) => b.silentMs - a.silentMs)[0];
}

/**
 * Chooses the membership changes that keep the number of voters while VMs fail and return.
 *
 * @module
 */
import type { MembershipChange, ReplicaId } from "./member.ts";

/** A member as the leader sees it. */
export interface MemberView {
  replica: ReplicaId;
  /** Id of the entry VM that holds the data folder. */
  entry: string;
  isVoter: boolean;
  isCaughtUp: boolean;
  /** Time since its last answer to the leader, in milliseconds; 0 for the leader itself. */
  silentMs: number;
}

export interface ReplacementRules {
  /** Wanted number of voters. */
  voters: number;
  /** Time without an answer after which a voter may be replaced, in milliseconds. */
  lostAfterMs: number;
  /** Time without an answer after which a learner is removed, in milliseconds. */
  learnerLostAfterMs: number;
}

/**
 * The next change, or undefined when none is needed. Members are in the order in which they joined. A voter whose VM
 * came back with an empty disk is removed before its replacement becomes a voter, since its vote is lost.
 */
export function nextMembershipChange(
  members: readonly MemberView[],
  rules: ReplacementRules,
): MembershipChange | undefined {
  const superseded = members.find(({ entry, silentMs }, index) =>
    silentMs > 0 &&
    members.slice(index + 1).some((later) => later.entry === entry)
  );
  if (superseded !== undefined) {
    return { kind: "remove", replica: superseded.replica };
  }
  const voters = members.filter(({ isVoter }) => isVoter);
  const readyLearner = members.find(({ isVoter, isCaughtUp }) =>
    !isVoter && isCaughtUp
  );
  if (readyLearner !== undefined && voters.length < rules.voters) {
    return { kind: "promote", replica: readyLearner.replica };
  }
  const lostVoter = longestSilent(voters, rules.lostAfterMs);
  if (readyLearner !== undefined && lostVoter !== undefined) {
    return { kind: "remove", replica: lostVoter.replica };
  }
  const learners = members.filter(({ isVoter }) => !isVoter);
  const lostLearner = longestSilent(learners, rules.learnerLostAfterMs);
  return lostLearner && { kind: "remove", replica: lostLearner.replica };
}

function longestSilent(
  members: readonly MemberView[],
  afterMs: number,
): MemberView | undefined {
  return members
    .filter(({ silentMs }) => silentMs > afterMs)
    .sort((a, b) => b.silentMs - a.silentMs)[0];
}

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
  /** Time since its last answer to the leader, in milliseconds; infinite before the first, 0 for the leader itself. */
  silentMs: number;
  /** Time for which the leader has tracked it, in milliseconds. */
  trackedMs: number;
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
  const superseded = members.find((member, index) =>
    members.slice(index + 1).some((later) => isSuperseded(member, later))
  );
  if (superseded !== undefined) {
    return { kind: "remove", replica: superseded.replica };
  }
  const voters = members.filter(({ isVoter }) => isVoter);
  const successor = readyLearner(members, rules);
  if (successor !== undefined && voters.length < rules.voters) {
    return { kind: "promote", replica: successor.replica };
  }
  const lostVoter = longestLost(voters, rules.lostAfterMs);
  if (successor !== undefined && lostVoter !== undefined) {
    return { kind: "remove", replica: lostVoter.replica };
  }
  const learners = members.filter(({ isVoter }) => !isVoter);
  const lostLearner = longestLost(learners, rules.learnerLostAfterMs);
  return lostLearner && { kind: "remove", replica: lostLearner.replica };
}

/**
 * The removal of a voter that is about to stop, if a learner can take its place. Its restart is not waited for: it joins
 * again as a learner.
 */
export function departureOf(
  replica: ReplicaId,
  members: readonly MemberView[],
  rules: ReplacementRules,
): MembershipChange | undefined {
  const isVoter = members.some((member) =>
    member.replica === replica && member.isVoter
  );
  return isVoter && readyLearner(members, rules) !== undefined
    ? { kind: "remove", replica }
    : undefined;
}

/** Members that have not answered for a time, or have not since the leader began to track them. */
export function lostMembers(
  members: readonly MemberView[],
  afterMs: number,
): MemberView[] {
  return members.filter((member) => lostMs(member) > afterMs);
}

/** Whether a later replica of the same VM answers; an earlier one whose request to join was delayed does not. */
function isSuperseded(member: MemberView, later: MemberView): boolean {
  return later.entry === member.entry && later.silentMs < member.silentMs;
}

/** A learner that can become a voter now. */
function readyLearner(
  members: readonly MemberView[],
  { lostAfterMs }: ReplacementRules,
): MemberView | undefined {
  return members.find(({ isVoter, isCaughtUp, silentMs }) =>
    !isVoter && isCaughtUp && silentMs <= lostAfterMs
  );
}

function longestLost(
  members: readonly MemberView[],
  afterMs: number,
): MemberView | undefined {
  return lostMembers(members, afterMs)
    .sort((a, b) => lostMs(b) - lostMs(a))[0];
}

/** A new leader has not heard the other members yet, so its silence counts from its election. */
function lostMs({ silentMs, trackedMs }: MemberView): number {
  return Math.min(silentMs, trackedMs);
}

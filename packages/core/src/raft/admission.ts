/**
 * Conditions under which a leader accepts commands, membership changes and leadership transfers.
 *
 * @module
 */
import { type Fault, fault } from "../fault.ts";
import { Err, Ok, type Result } from "../result.ts";
import {
  applyChange,
  memberOf,
  type Membership,
  type MembershipChange,
  type ReplicaId,
  votersOf,
} from "./member.ts";
import { isInContact, type Leadership, type Replica } from "./replica.ts";

/** A learner that is at most this far behind the commit index has caught up. */
const MAX_LEARNER_LAG_ENTRIES = 64;

/** Room in the backlog that a command needs, as a multiple of its size, so that large ones leave room for small ones. */
const HEADROOM = 4;

/** The fault of a request that only the leader accepts. */
export function notLeader({ leader, tuning }: Replica): Fault {
  if (leader === undefined) {
    return fault("no_leader", "No leader is known", {
      outcome: "not run",
      retryAfterMs: tuning.electionMs,
    });
  }
  return fault("not_leader", `Replica "${leader}" is the leader`, {
    outcome: "not run",
    leader,
  });
}

function leadershipOf(replica: Replica): Result<Leadership, Fault> {
  const { leadership, tuning } = replica;
  if (leadership === undefined) {
    return Err(notLeader(replica));
  }
  if (leadership.transfer !== undefined) {
    return Err(
      fault("no_leader", "A leadership transfer is under way", {
        outcome: "not run",
        retryAfterMs: tuning.heartbeatMs,
      }),
    );
  }
  return Ok(leadership);
}

/**
 * Refuses commands at a replica that does not lead, and when `HEADROOM` times their size would exceed `maxBacklogSize`.
 * An empty backlog accepts commands of any size.
 */
export function checkProposal(
  replica: Replica,
  commands: readonly string[],
): Result<Leadership, Fault> {
  const { maxBacklogSize, heartbeatMs } = replica.tuning;
  const size = commands.reduce((sum, data) => sum + data.length, 0);
  return leadershipOf(replica).andThen((leadership) => {
    const backlogSize = leadership.backlogSize;
    if (backlogSize === 0 || backlogSize + size * HEADROOM <= maxBacklogSize) {
      return Ok(leadership);
    }
    return Err(
      fault("overloaded", "Too many commands await their commit", {
        outcome: "not run",
        retryAfterMs: heartbeatMs,
      }),
    );
  });
}

/**
 * Allows one change at a time, and none before an entry of the leader's own term is committed (Ongaro, "bug in
 * single-server membership changes", raft-dev, 2015).
 */
export function checkChange(
  replica: Replica,
  change: MembershipChange,
): Result<Membership, Fault> {
  return leadershipOf(replica).andThen((leadership) => {
    const { commit, log, tuning } = replica;
    if (Math.max(leadership.firstIndex, log.membershipIndex) > commit) {
      return Err(
        fault("conflict", "Another membership change is under way", {
          outcome: "not run",
          retryAfterMs: tuning.heartbeatMs,
        }),
      );
    }
    if (change.kind === "promote" && !hasCaughtUp(replica, change.replica)) {
      return Err(
        fault("conflict", `Replica "${change.replica}" has not caught up`, {
          outcome: "not run",
          retryAfterMs: tuning.electionMs,
        }),
      );
    }
    return applyChange(log.membership, change).andThen((membership) =>
      hasMajorityInContact(replica, membership)
        ? Ok(membership)
        : Err(noMajorityInContact(change))
    );
  });
}

/** Whether the change would leave a majority of the voters in contact, so that it can be committed. */
function hasMajorityInContact(
  replica: Replica,
  membership: Membership,
): boolean {
  const voters = votersOf(membership);
  const inContact = voters.filter((id) => isInContact(replica, id));
  return inContact.length > voters.length / 2;
}

function noMajorityInContact({ kind }: MembershipChange): Fault {
  return fault(
    "conflict",
    `Change "${kind}" would leave no majority of the voters in contact`,
    { outcome: "not run", remedy: "Replace the silent voters first" },
  );
}

function hasCaughtUp(replica: Replica, id: ReplicaId): boolean {
  const progress = replica.leadership?.progress.get(id);
  if (progress === undefined) {
    // Not another member: `applyChange` refuses the promotion with the exact reason.
    return true;
  }
  return progress.mode === "replicate" && isInContact(replica, id) &&
    progress.match + MAX_LEARNER_LAG_ENTRIES >= replica.commit;
}

/** Allows a transfer to another voter. */
export function checkTransfer(
  replica: Replica,
  to: ReplicaId,
): Result<Leadership, Fault> {
  return leadershipOf(replica).andThen((leadership) => {
    const target = memberOf(replica.log.membership, to);
    if (target?.standing !== "voter" || to === replica.id) {
      return Err(fault("invalid", `Replica "${to}" is not another voter`));
    }
    return Ok(leadership);
  });
}

/**
 * The replicas of the cluster as one of them sees them.
 *
 * @module
 */
import type { Raft, ReplicaId } from "@quetzalcove/core";
import type { Leadership, ReplicaStatus } from "./consensus.ts";

/** Entries behind at which a replica no longer counts as caught up. */
const CAUGHT_UP_ENTRIES = 64;

/** Status of every member; only the leader knows how far the others are. */
export function replicaStatuses(raft: Raft): ReplicaStatus[] {
  const { replica, leader, lastIndex } = raft.status;
  const matched = new Map(
    raft.progress.map((known) => [known.replica, known.match]),
  );
  matched.set(replica, lastIndex);
  return raft.membership.members.map((member) => {
    const match = matched.get(member.replica) ?? 0;
    return {
      replica: member.replica,
      entry: member.entry,
      zone: member.zone,
      role: member.replica === leader ? "leader" : roleOf(member.standing),
      matched: match,
      caughtUp: lastIndex - match <= CAUGHT_UP_ENTRIES,
    };
  });
}

/** Who leads, as far as a replica knows. */
export function leadershipOf(raft: Raft): Leadership {
  const { term, leader, role } = raft.status;
  return {
    term,
    leader: leader === undefined ? undefined : entryOf(leader),
    isLeader: role === "leader",
  };
}

/** The entry that holds a replica. */
export function entryOf(replica: ReplicaId): string {
  return replica.slice(0, replica.lastIndexOf("#"));
}

function roleOf(standing: "voter" | "learner"): "follower" | "learner" {
  return standing === "voter" ? "follower" : "learner";
}

/**
 * Status of the group's members and its leadership, as one replica knows them.
 *
 * @module
 */
import type { Raft, ReplicaId } from "@quetzalcove/core";
import type { Leadership, ReplicaStatus } from "./consensus.ts";

/** Maximum lag, in log entries, of a replica that counts as caught up. */
const MAX_CAUGHT_UP_LAG_ENTRIES = 64;

/** Status of every member. Only the leader knows the progress of the others. */
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
      caughtUp: lastIndex - match <= MAX_CAUGHT_UP_LAG_ENTRIES,
    };
  });
}

/** The leadership as far as a replica knows it. */
export function leadershipOf(raft: Raft): Leadership {
  const { term, leader, role } = raft.status;
  return {
    term,
    leader: leader === undefined ? undefined : entryOf(leader),
    isLeader: role === "leader",
  };
}

/** Name of the entry that holds a replica. */
export function entryOf(replica: ReplicaId): string {
  return replica.slice(0, replica.lastIndexOf("#"));
}

function roleOf(standing: "voter" | "learner"): "follower" | "learner" {
  return standing === "voter" ? "follower" : "learner";
}

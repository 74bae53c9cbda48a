/**
 * Membership of the replica group and its single-server changes (Ongaro's thesis, chapter 4).
 *
 * @module
 */
import { z } from "zod";
import { type Fault, fault } from "../fault.ts";
import { Address, Name } from "../names.ts";
import { Err, Ok, type Result } from "../result.ts";

/**
 * Id of a replica: the entry's id and a random suffix that is created when the data folder is formatted, for example
 * `e1#a8f3`. A replica that lost its disk comes back under another id, so that it never votes twice in one term.
 */
export const ReplicaId = z.string().regex(
  /^[a-z0-9][a-z0-9._-]{0,62}#[0-9a-z]{4,32}$/,
  "must be an entry id, '#' and 4 to 32 lower-case letters or digits",
);
export type ReplicaId = z.infer<typeof ReplicaId>;

export const Member = z.object({
  replica: ReplicaId,
  /** Id of the entry VM that holds the data folder. */
  entry: Name,
  zone: Name,
  /** Address at which the other replicas reach it. */
  address: Address,
  /** A learner receives the log but has no vote. */
  standing: z.enum(["voter", "learner"]),
});
export type Member = z.infer<typeof Member>;

/** The replicas that hold the log. Every change adds, promotes or removes exactly one. */
export const Membership = z.object({ members: z.array(Member) });
export type Membership = z.infer<typeof Membership>;

export const MembershipChange = z.discriminatedUnion("kind", [
  /** Adds a replica as a learner. */
  z.object({
    kind: z.literal("add"),
    member: Member.omit({ standing: true }),
  }),
  /** Makes a learner that has caught up a voter. */
  z.object({ kind: z.literal("promote"), replica: ReplicaId }),
  z.object({ kind: z.literal("remove"), replica: ReplicaId }),
]);
export type MembershipChange = z.infer<typeof MembershipChange>;

/** The membership before a replica has heard from a leader. */
export function emptyMembership(): Membership {
  return { members: [] };
}

/** Ids of the voting members. */
export function votersOf(membership: Membership): ReplicaId[] {
  return membership.members
    .filter((member) => member.standing === "voter")
    .map((member) => member.replica);
}

/** The member with the given replica id, if there is one. */
export function memberOf(
  membership: Membership,
  replica: ReplicaId,
): Member | undefined {
  return membership.members.find((member) => member.replica === replica);
}

/** The membership after one change. */
export function applyChange(
  membership: Membership,
  change: MembershipChange,
): Result<Membership, Fault> {
  switch (change.kind) {
    case "add":
      return addLearner(membership, change.member);
    case "promote":
      return promoteLearner(membership, change.replica);
    case "remove":
      return removeMember(membership, change.replica);
  }
}

function addLearner(
  { members }: Membership,
  member: Omit<Member, "standing">,
): Result<Membership, Fault> {
  if (members.some((known) => known.replica === member.replica)) {
    return Err(
      fault("conflict", `Replica "${member.replica}" is already a member`),
    );
  }
  return Ok({ members: [...members, { ...member, standing: "learner" }] });
}

function promoteLearner(
  membership: Membership,
  replica: ReplicaId,
): Result<Membership, Fault> {
  const member = memberOf(membership, replica);
  if (member === undefined) {
    return Err(unknownReplica(replica));
  }
  if (member.standing === "voter") {
    return Err(fault("conflict", `Replica "${replica}" is already a voter`));
  }
  const members = membership.members.map((known): Member =>
    known.replica === replica ? { ...known, standing: "voter" } : known
  );
  return Ok({ members });
}

function removeMember(
  membership: Membership,
  replica: ReplicaId,
): Result<Membership, Fault> {
  const member = memberOf(membership, replica);
  if (member === undefined) {
    return Err(unknownReplica(replica));
  }
  if (member.standing === "voter" && votersOf(membership).length === 1) {
    return Err(
      fault("conflict", `Replica "${replica}" is the only voter`, {
        remedy: "Add and promote another replica first",
      }),
    );
  }
  const members = membership.members.filter((m) => m.replica !== replica);
  return Ok({ members });
}

function unknownReplica(replica: ReplicaId): Fault {
  return fault("not_found", `Replica "${replica}" is not a member`);
}

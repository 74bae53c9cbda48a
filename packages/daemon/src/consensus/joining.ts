/**
 * Joining of a replica that is not a member of the group yet.
 *
 * @module
 */
import { type Fault, Member, Ok, type Result } from "@quetzalcove/core";
import type { z } from "zod";
import type { Log } from "../observe/log.ts";
import type { RaftDriver } from "./raft_driver.ts";

/** Body of a `join` call: the replica that asks to become a member. */
export const JoinRequest = Member.omit({ standing: true });
export type JoinRequest = z.infer<typeof JoinRequest>;

/** Whether a replica is a member of the group, as far as this one knows. */
export function isMember(
  group: Pick<RaftDriver<never, never, never>, "replicas">,
  replica: string,
): boolean {
  return group.replicas().some((member) => member.replica === replica);
}

/** Adds a replica as a learner to the group that this one leads; a member is not added again. */
export function addReplica(
  group: Pick<
    RaftDriver<never, never, never>,
    "replicas" | "changeMembership"
  >,
  request: JoinRequest,
  log: Log,
): Result<unknown, Fault> {
  if (isMember(group, request.replica)) {
    return Ok({});
  }
  log.info("replica.joins", { replica: request.replica });
  return group.changeMembership({ kind: "add", member: request });
}

/**
 * How a replica that is no member yet is taken into the group.
 *
 * @module
 */
import { type Fault, Member, Ok, type Result } from "@quetzalcove/core";
import type { z } from "zod";
import type { Log } from "../observe/log.ts";
import type { ReplicaTask } from "./replica_task.ts";

/** What a replica tells about itself when it asks to join. */
export const Applicant = Member.omit({ standing: true });
export type Applicant = z.infer<typeof Applicant>;

/** Whether the group has a replica, as far as this one knows. */
export function isMember(
  group: Pick<ReplicaTask<never, never, never>, "replicas">,
  replica: string,
): boolean {
  return group.replicas().some((member) => member.replica === replica);
}

/** Adds a replica to the group that this one leads; adding one twice changes nothing. */
export function admit(
  group: Pick<
    ReplicaTask<never, never, never>,
    "replicas" | "changeMembership"
  >,
  applicant: Applicant,
  log: Log,
): Result<unknown, Fault> {
  if (isMember(group, applicant.replica)) {
    return Ok({});
  }
  log.info("replica.joins", { replica: applicant.replica });
  return group.changeMembership({ kind: "add", member: applicant });
}

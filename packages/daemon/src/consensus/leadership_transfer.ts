/**
 * Transfer of the leadership before a planned stop.
 *
 * @module
 */
import { waitUntil } from "../waiting.ts";
import type { RaftDriver } from "./raft_driver.ts";

const TRANSFER_TIMEOUT_MS = 2_000;

/** Transfers the leadership to a follower that has caught up, if the replica of this entry leads. */
export async function transferLeadership(
  replica: Pick<
    RaftDriver<never, never, never>,
    "leadership" | "replicas" | "transfer"
  >,
  entry: string,
): Promise<void> {
  if (!replica.leadership().isLeader) {
    return;
  }
  const successor = replica.replicas().find((member) => {
    return member.entry !== entry && member.role === "follower" &&
      member.caughtUp;
  });
  if (successor !== undefined) {
    replica.transfer(successor.entry);
    await waitUntil(() => !replica.leadership().isLeader, TRANSFER_TIMEOUT_MS);
  }
}

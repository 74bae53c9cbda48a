/**
 * Hands the leadership over before a planned stop.
 *
 * @module
 */
import { until } from "../waiting.ts";
import type { ReplicaTask } from "./replica_task.ts";

/** Longest wait for a successor, in milliseconds. */
const TRANSFER_MS = 2_000;

/** Lets a follower that has caught up take over, if the replica of this entry leads. */
export async function handOver(
  replica: Pick<
    ReplicaTask<never, never, never>,
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
    await until(() => !replica.leadership().isLeader, TRANSFER_MS);
  }
}

/**
 * Keeps the leader's authority confirmed, so that orders need not wait for a round of their own.
 *
 * @module
 */
import type { ReplicaTask } from "../consensus/replica_task.ts";
import { type Component, ticker } from "../lifecycle.ts";

/** Interval of confirmations, in milliseconds: a quarter of the lease of a confirmed round. */
const CONFIRM_INTERVAL_MS = 100;

/** Confirms leadership at a fixed interval while this replica leads. */
export function leadershipConfirmer(
  replica: Pick<
    ReplicaTask<never, never, never>,
    "leadership" | "barrier"
  >,
): Component {
  return ticker("authority", CONFIRM_INTERVAL_MS, () => {
    if (replica.leadership().isLeader) {
      void replica.barrier();
    }
  });
}

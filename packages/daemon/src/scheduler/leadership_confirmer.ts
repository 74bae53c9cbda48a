/**
 * Keeps leadership confirmed in advance, so that orders to workers need not wait for a quorum round each.
 *
 * @module
 */
import type { RaftDriver } from "../consensus/raft_driver.ts";
import { type Component, ticker } from "../lifecycle.ts";

/** Interval between confirmations: a quarter of the leader lease that a confirmed round grants. */
const CONFIRM_INTERVAL_MS = 100;

/** Returns a component that confirms leadership with a quorum at a fixed interval while this replica leads. */
export function leadershipConfirmer(
  replica: Pick<
    RaftDriver<never, never, never>,
    "leadership" | "barrier"
  >,
): Component {
  return ticker("authority", CONFIRM_INTERVAL_MS, () => {
    if (replica.leadership().isLeader) {
      void replica.barrier();
    }
  });
}

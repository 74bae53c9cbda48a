/**
 * Why a worker has no runs any more.
 *
 * @module
 */
import type { Worker } from "@quetzalcove/core/scheduling";

export interface WorkerLoss {
  /**
   * `crashed`: it ended without an announcement. `departed`: it had announced its end. `ordered`: an order for its VM
   * ended it. `unreachable`: its lease has ended, and it may still answer later.
   */
  kind: "crashed" | "departed" | "ordered" | "unreachable";
  reason: string;
}

/** The loss of a worker that has certainly ended; `isOrdered` if an order for its VM was in progress. */
export function lossOfEnded(
  { draining, hasLeft }: Worker,
  reason: string,
  isOrdered = false,
): WorkerLoss {
  const kind = draining || hasLeft
    ? "departed"
    : isOrdered
    ? "ordered"
    : "crashed";
  return { kind, reason };
}

/**
 * Replies to requests that are refused. "Not run" is said of a request with a key only after the ledger confirmed that
 * no earlier request under the key may have run.
 *
 * @module
 */
import type { Fault, Outcome } from "@quetzalcove/core";
import { type HttpReply, problemReply } from "../problem.ts";
import type { LedgerClient } from "./ledger_client.ts";
import type { MembershipTask } from "./membership_task.ts";

/** What a refusal needs. */
export interface RefusalParts {
  ledger: LedgerClient;
  membership: MembershipTask;
}

/** Longest wait for the ledger before a refusal, in milliseconds. */
const HOLDING_TIMEOUT_MS = 500;

/** The reply to a request that this entry did not run. `key` is its key in the ledger, if it has one. */
export async function refusedReply(
  parts: RefusalParts,
  cause: Fault,
  key: string | undefined,
): Promise<HttpReply> {
  const outcome = key === undefined ? "not run" : await outcomeOf(parts, key);
  return problemReply({ ...cause, outcome });
}

async function outcomeOf(
  { ledger, membership }: RefusalParts,
  key: string,
): Promise<Outcome> {
  if (!membership.hasLease()) {
    return "unknown";
  }
  const holding = await ledger.holding(key, HOLDING_TIMEOUT_MS);
  if (holding.err) {
    return "unknown";
  }
  return holding.val.phase === "none" ? "not run" : holding.val.phase;
}

/**
 * Replies to requests that are refused. "Not run" is said of a request with a key only after the ledger confirmed that
 * no earlier request under the key may have run.
 *
 * @module
 */
import type { Fault, Outcome } from "@quetzalcove/core";
import { type HttpReply, problemReply } from "../problem.ts";
import type { LedgerClient } from "./ledger_client.ts";
import type { MembershipController } from "./membership_controller.ts";

/** What a refusal needs. */
export interface RefusalParts {
  ledger: LedgerClient;
  membership: MembershipController;
}

/** Longest wait for the ledger before a refusal, in milliseconds. */
const LEDGER_READ_TIMEOUT_MS = 500;

/** The reply to a request that this entry did not run. `key` is its key in the ledger, if it has one. */
export async function refusalReply(
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
  const ledgerState = await ledger.read(key, LEDGER_READ_TIMEOUT_MS);
  if (ledgerState.err) {
    return "unknown";
  }
  return ledgerState.val.phase === "none" ? "not run" : ledgerState.val.phase;
}

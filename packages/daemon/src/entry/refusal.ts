/**
 * Replies to refused requests. A request with an idempotency key is reported as "not run" only after the ledger
 * confirmed that no earlier request with the key may have run.
 *
 * @module
 */
import type { Fault, Outcome } from "@quetzalcove/core";
import { type HttpReply, problemReply } from "../problem.ts";
import type { LedgerClient } from "./ledger_client.ts";
import type { LeaseController } from "./lease_controller.ts";

/** Dependencies of a refusal. */
export interface RefusalParts {
  ledger: LedgerClient;
  leaseController: LeaseController;
}

/** Maximum wait for the ledger before a refusal; covers a call at a leader that has stopped and the next election. */
const LEDGER_READ_TIMEOUT_MS = 2_000;

/** Returns the reply to a request that this entry did not run. `key` is its ledger key, if it has one. */
export async function refusalReply(
  parts: RefusalParts,
  cause: Fault,
  key: string | undefined,
): Promise<HttpReply> {
  const outcome = key === undefined ? "not run" : await outcomeOf(parts, key);
  return problemReply({ ...cause, outcome });
}

async function outcomeOf(
  { ledger, leaseController }: RefusalParts,
  key: string,
): Promise<Outcome> {
  if (!leaseController.hasLease()) {
    return "unknown";
  }
  const ledgerState = await ledger.read(key, LEDGER_READ_TIMEOUT_MS);
  if (ledgerState.err) {
    return "unknown";
  }
  return ledgerState.val.phase === "none" ? "not run" : ledgerState.val.phase;
}

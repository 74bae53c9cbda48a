/**
 * The replicated state: everything that must survive the loss of a process.
 *
 * @module
 */
import { z } from "zod";
import { VmRecord } from "./fleet.ts";
import { emptyInventory, Inventory } from "./inventory.ts";
import { emptyLedger, Ledger } from "./ledger.ts";
import { emptyJobs, Jobs } from "./placement/job.ts";
import { Accounts, emptyAccounts } from "./maintenance/budget.ts";
import { emptyRollout, Rollout } from "./maintenance/rollout.ts";
import { emptyRules, Rules } from "./rules.ts";

/** The recorded result of a configuration change, kept so that a retry gets the first answer. */
export const RecordedChange = z.object({
  id: z.string(),
  version: z.number().int(),
  revision: z.number().int(),
});
export type RecordedChange = z.infer<typeof RecordedChange>;

export const State = z.object({
  /** Version of inventory and rules; each accepted change adds one. */
  version: z.number().int(),
  /** Increases with every change that entries must see: configuration and VM records. */
  revision: z.number().int(),
  /** Revision at which inventory and rules last changed. */
  configurationRevision: z.number().int(),
  inventory: Inventory,
  rules: Rules,
  vms: z.record(z.string(), VmRecord),
  /** Removed VMs with the revision of their removal. */
  removed: z.record(z.string(), z.number().int()),
  ledger: Ledger,
  /** Jobs and the estimates derived from them. */
  jobs: Jobs,
  /** Maintenance rounds and waves. */
  rollout: Rollout,
  /** Availability budgets. */
  accounts: Accounts,
  /** Recent configuration changes, oldest first. */
  changes: z.array(RecordedChange),
});
export type State = z.infer<typeof State>;

export function emptyState(): State {
  return {
    version: 0,
    revision: 0,
    configurationRevision: 0,
    inventory: emptyInventory(),
    rules: emptyRules(),
    vms: {},
    removed: {},
    ledger: emptyLedger(),
    jobs: emptyJobs(),
    rollout: emptyRollout(),
    accounts: emptyAccounts(),
    changes: [],
  };
}

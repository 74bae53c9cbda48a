/**
 * Routing: target selection, queueing, deadlines, retries and ejection at one entry, and the leader's allocation of
 * slots to entries.
 *
 * @module
 */
export type { Admission, Load } from "./admission.ts";
export type { Allowance } from "./allowances.ts";
export type { PoolDescription, TargetDescription } from "./description.ts";
export { RenewalPace } from "./renewal_pace.ts";
export { Router } from "./router.ts";
export {
  type SlotAllocation,
  SlotLedger,
  type SlotLedgerSetup,
} from "./slot_ledger.ts";
export { SlotGrant, SlotNeed, SlotReport } from "./slot_report.ts";
export type {
  Completion,
  Dispatch,
  Route,
  RoutedService,
  RouterOptions,
  Submission,
} from "./submission.ts";

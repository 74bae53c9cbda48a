/**
 * Routing: target selection, queueing, deadlines, retries and ejection at one entry, and the leader's allocation of
 * slots to entries.
 *
 * @module
 */
export type { Admission, ServiceLoad } from "./admission.ts";
export type { Allowance } from "./allowances.ts";
export type { ServiceDescription, TargetDescription } from "./description.ts";
export { RenewalSchedule } from "./renewal_schedule.ts";
export { RetryBudget, type RetryBudgetTerms } from "./retry_budget.ts";
export { Router, type RouterOptions } from "./router.ts";
export {
  type SlotAllocation,
  SlotAllocator,
  type SlotAllocatorOptions,
} from "./slot_allocator.ts";
export { SlotGrant, SlotNeed, SlotReport } from "./slot_report.ts";
export type {
  Completion,
  Route,
  RoutingDecision,
  ServiceConfig,
  Submission,
} from "./router_types.ts";

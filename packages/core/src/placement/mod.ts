/**
 * Placement of jobs on VMs under leases.
 *
 * @module
 */
export { applyJobs } from "./apply.ts";
export type { Explanation } from "./explain.ts";
export * from "./job.ts";
export { LEASE_MS, RENEW_MS, STALE_MS, takeoverBound } from "./lease.ts";
export * from "./operation.ts";
export * from "./placement.ts";
export { runsOn } from "./record.ts";
export * from "./rules.ts";
export * from "./size.ts";

/**
 * How many VMs each pool has, and which of them move.
 *
 * @module
 */
export * from "./demand_trend.ts";
export * from "./pool_allocation.ts";
export * from "./pool_demand.ts";
export * from "./pool_moves.ts";
export * from "./vm_reclaim.ts";

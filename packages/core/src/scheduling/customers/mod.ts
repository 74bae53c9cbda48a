/**
 * Who calls, and what part of the fleet each customer may use.
 *
 * @module
 */
export * from "./call_allowance.ts";
export * from "./customer_access.ts";
export { allowsStart, checkGangs, CustomerLimits } from "./customer_limits.ts";
export * from "./customer_rates.ts";
export * from "./customer_shares.ts";
export * from "./customer_usage.ts";
export * from "./expiring_set.ts";
export * from "./key_cache.ts";

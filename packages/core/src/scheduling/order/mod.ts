/**
 * Who goes first: urgency and turns of the waiting steps.
 *
 * @module
 */
export * from "./placement_order.ts";
export * from "./urgency.ts";
export * from "./work_estimate.ts";

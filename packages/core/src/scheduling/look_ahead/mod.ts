/**
 * Plans for large steps, from what waits and what will end soon.
 *
 * @module
 */
export * from "./blocked_demands.ts";
export * from "./look_ahead.ts";
export * from "./rack_wait.ts";
export * from "./reservation_plan.ts";
export * from "./run_ends.ts";
export * from "./wait_times.ts";
export * from "./worker_timeline.ts";

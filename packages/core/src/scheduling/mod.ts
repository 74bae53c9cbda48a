/**
 * Scheduling of batch jobs (steps of tasks) on workers: pure decisions and state, without I/O.
 *
 * @module
 */
export * from "./admission/mod.ts";
export * from "./customers/mod.ts";
export * from "./look_ahead/mod.ts";
export * from "./maintenance/mod.ts";
export * from "./model/mod.ts";
export * from "./order/mod.ts";
export * from "./passes/mod.ts";
export * from "./placement/mod.ts";
export * from "./pools/mod.ts";
export * from "./store/mod.ts";
export * from "./workers/mod.ts";

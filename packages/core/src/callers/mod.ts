/**
 * Memory that callers take in a process.
 *
 * @module
 */
export * from "./caller_memory.ts";
export * from "./memory_plan.ts";

/**
 * The replicated state: all jobs, runs and workers.
 *
 * @module
 */
export * from "./crash_suspects.ts";
export * from "./held_memory.ts";
export * from "./job_store.ts";

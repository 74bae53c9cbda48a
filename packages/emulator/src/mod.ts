/**
 * Emulated targets and agents, a load generator, and helpers that run daemons as child processes.
 *
 * @module
 */
export * from "./platform_agent.ts";
export * from "./announcer.ts";
export * from "./behaviour.ts";
export * from "./child_process.ts";
export * from "./deployment.ts";
export * from "./fleet.ts";
export * from "./load.ts";
export * from "./target.ts";
export * from "./task_agent.ts";

/**
 * The daemon: sockets, files and timers around the core.
 *
 * @module
 */
export { Daemon } from "./daemon.ts";
export { Observer } from "./leader/observer.ts";
export { Tenure } from "./leader/tenure.ts";
export { main } from "./main.ts";
export { PlatformAgents } from "./agents/agents.ts";
export * from "./storage/mod.ts";

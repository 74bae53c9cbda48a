/**
 * The daemon: sockets, files and timers around the core.
 *
 * @module
 */
export { Daemon } from "./daemon.ts";
export { Observer } from "./leader/observer.ts";
export { LeaderTermState } from "./leader/leader_term_state.ts";
export { main } from "./main.ts";
export { PlatformAgentClient } from "./agents/platform_agent_client.ts";
export * from "./storage/mod.ts";

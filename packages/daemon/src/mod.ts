/**
 * The daemon: sockets, files and timers around the core.
 *
 * @module
 */
export { Daemon } from "./daemon.ts";
export { main } from "./main.ts";
export * from "./storage/mod.ts";

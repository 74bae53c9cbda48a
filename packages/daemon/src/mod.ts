/**
 * The daemon: sockets, files and timers around the core.
 *
 * @module
 */
export * from "./storage/mod.ts";

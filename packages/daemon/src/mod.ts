/**
 * The daemon of quetzalcove.
 *
 * @module
 */
export { Daemon } from "./daemon.ts";
export { main } from "./main.ts";

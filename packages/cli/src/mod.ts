/**
 * The command-line tool `quetzalcove`, a client of the administration API.
 *
 * @module
 */
export * from "./command.ts";
export * from "./failure.ts";
export * from "./log_line.ts";
export * from "./program.ts";
export * from "./reference.ts";
export * from "./register.ts";
export * from "./runtime.ts";

/**
 * The command-line tool `quetzalcove`, which talks to the administration API alone.
 *
 * @module
 */
export * from "./command.ts";
export * from "./failure.ts";
export * from "./program.ts";
export * from "./reference.ts";
export * from "./register.ts";
export * from "./runtime.ts";

/**
 * One placement pass over all waiting steps.
 *
 * @module
 */
export * from "./placement_pass.ts";

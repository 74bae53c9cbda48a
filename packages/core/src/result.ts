/**
 * The result type of every operation that can fail.
 *
 * `ts-results` is a CommonJS package whose named exports Node.js cannot detect, so its values are taken from
 * the default import.
 *
 * @module
 */
import results from "ts-results";

export const { Ok, Err } = results;
export type { Result } from "ts-results";

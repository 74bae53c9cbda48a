/**
 * Which build of the program a process runs.
 *
 * @module
 */

/** Identity of a build, as its bundle names it. */
export interface Build {
  /** Hash of the bundle. */
  id: string;
  /** Commit that was built; `-dirty` marks changes to it. */
  revision: string;
}

/** Build of a program that runs without a bundle, for instance in a test. */
export const UNKNOWN_BUILD: Build = { id: "unknown", revision: "unknown" };

/**
 * What the job store knows of one task that has run.
 *
 * @module
 */

/** Suspicion against a task that was on a worker when it crashed. */
export interface Suspicion {
  /** Crashes on probation, which no other job can have caused. */
  crashes: number;
  /** Those for which the worker had confirmed the start. */
  confirmed: number;
}

/** A run that failed. */
export interface RunFailure {
  /** Undefined if it was stored by an earlier version. */
  run?: number;
  worker: string;
  /** Wall-clock time in milliseconds. */
  atMs: number;
}

/** One task of a round. */
export interface TaskRecord {
  /** Number of the latest run; 0 before the first. */
  run: number;
  /** Failed runs; of a gang's run only the first failure counts. */
  failures: number;
  /** Undefined before the first failure. */
  lastFailure?: RunFailure | undefined;
  /** Undefined if its runs cannot have crashed a worker. */
  suspicion?: Suspicion | undefined;
  isDone: boolean;
  /** Latest checkpoint; empty for none. */
  checkpoint: string;
  /** Worker of the active run, if any. */
  worker: string | undefined;
}

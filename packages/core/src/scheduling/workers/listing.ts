/**
 * Lists of a worker's runs, and what may be concluded from a run that is not listed.
 *
 * @module
 */
import type { RunOutcome } from "../model/command.ts";

/** A run that a worker lists as running. */
export interface ListedRun {
  task: string;
  run: number;
  checkpoint: string;
  /** Progress in percent; 100 for a long-running task that is up. */
  percent: number;
  /** Tail latency in milliseconds of a latency-sensitive task; CPU use in millicores of other tasks. */
  gauge: number;
}

/** A run that a worker lists as ended. */
export interface ListedEnd {
  /** Position in the worker's list of ends, from 1. */
  number: number;
  task: string;
  run: number;
  how: RunOutcome;
  checkpoint: string;
}

/** A worker's list of its runs. */
export interface Listing {
  running: ListedRun[];
  ended: ListedEnd[];
  /** Number of rows that could not be read. */
  unreadableRows: number;
  /** Whether the worker may have more ends, which it lists once these are acknowledged. */
  hasMoreEnds: boolean;
}

/** A listing that leaves nothing out: a run that it does not contain neither runs nor has an end that is still to come. */
export type CompleteListing = Listing & {
  unreadableRows: 0;
  hasMoreEnds: false;
};

/** Whether a listing leaves nothing out. */
export function isComplete(listing: Listing): listing is CompleteListing {
  return listing.unreadableRows === 0 && !listing.hasMoreEnds;
}

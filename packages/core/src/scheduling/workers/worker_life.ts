/**
 * Lives of a worker: a worker may restart under its id, and then holds and knows nothing from before.
 *
 * @module
 */
import type { RunKey } from "../model/command.ts";
import type { RunRecord } from "../model/job_record.ts";
import { runName } from "../model/task_name.ts";
import type { CompleteListing } from "./listing.ts";

/**
 * Whether `seen` is the birth of a later life than `known`, in Unix milliseconds. A birth that the platform does not tell
 * says nothing.
 */
export function isLaterLife(
  known: number | undefined,
  seen: number | undefined,
): boolean {
  return known !== undefined && seen !== undefined && seen > known;
}

/** What is known of the starts that were sent to the earlier life of a worker. */
export interface EarlierStarts {
  /** Whether the start of a run was certainly not sent. */
  isUnsent: (run: RunRecord) => boolean;
  /** Runs with a start that got no answer, so that the new life may still carry it out. */
  mayArrive: readonly RunKey[];
}

/** What becomes of the runs that were placed on the earlier life of a worker. */
export interface EarlierRuns {
  /** Their start was not sent. */
  unsent: RunRecord[];
  /** The new life carried out their start. */
  kept: RunRecord[];
  /**
   * Their start may still be carried out, by this life or a later one: started again here under their numbers, where a
   * late start makes no second run.
   */
  repeated: RunRecord[];
  /** They ended with the earlier life, and no start of theirs is under way. */
  ended: RunRecord[];
  /**
   * Runs that the worker no longer holds, and whose start may still be carried out: stopped at once, since a worker never
   * starts a run that it was told to stop.
   */
  forestalled: RunKey[];
}

/**
 * Sorts the runs of an earlier life by a listing of the new one, which was requested after the new life was known. A start
 * that was answered before was carried out by one of the two lives, and the new one lists it if it was it.
 */
export function sortEarlierRuns(
  runs: readonly RunRecord[],
  { running, ended }: CompleteListing,
  { isUnsent, mayArrive }: EarlierStarts,
): EarlierRuns {
  const listed = new Set([...running, ...ended].map(runName));
  const arriving = new Set(mayArrive.map(runName));
  const held = new Set(runs.map(runName));
  const sorted: EarlierRuns = {
    unsent: [],
    kept: [],
    repeated: [],
    ended: [],
    forestalled: mayArrive.filter((run) => !held.has(runName(run))),
  };
  for (const run of runs) {
    const key = runName(run);
    if (arriving.has(key)) {
      sorted.repeated.push(run);
    } else if (listed.has(key)) {
      sorted.kept.push(run);
    } else if (isUnsent(run)) {
      sorted.unsent.push(run);
    } else {
      sorted.ended.push(run);
    }
  }
  return sorted;
}

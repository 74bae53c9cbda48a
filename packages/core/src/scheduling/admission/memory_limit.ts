/**
 * Limit on the memory that jobs take in each replica.
 *
 * A replica that ends for lack of memory ends again when it applies its log, so what it cannot hold must be refused before
 * it is stored. Room that is shared could be taken by one owner, or by large jobs of which few can be served, so:
 *
 * - an owner may hold at most `OWNER_SHARE` times what is left free (dynamic thresholds, Choudhury and Hahne 1998), and
 * - a job needs `HEADROOM` times its size, so that large jobs are refused while small ones still find room.
 *
 * @module
 */
import { type Fault, fault } from "../../fault.ts";
import { Err, Ok, type Result } from "../../result.ts";
import { RUN_BYTES, TASK_BYTES } from "../model/memory_size.ts";

/** Memory of a replica for jobs, in bytes. */
export interface MemoryState {
  /** What jobs may take. */
  limit: number;
  /** What they take, those that are being stored included. */
  held: number;
  /** What those of the owner take. */
  heldByOwner: number;
}

/** What an owner may hold, as a multiple of what is free beside it. */
const OWNER_SHARE = 2;

/** Free memory that a job needs, as a multiple of its size. */
const HEADROOM = 8;

/** Largest job, as a share of the limit. */
const MAX_JOB_SHARE = 1 / (4 * HEADROOM);

/** What tasks that have run may take beside the jobs, as a share of the limit. */
const RUN_SHARE = 0.25;

/** Number of active runs that is always allowed, so that jobs which fill the memory are worked off. */
const MIN_ACTIVE_RUNS = 1_000;

const BYTES_PER_KB = 1_000;

/** Copies of the jobs' size on a disk: two snapshots, and the log between them, of which there may be two. */
const DISK_COPIES = 2.5;

/** What else is on a disk, in bytes. */
const DISK_BASE_BYTES = 16_000_000;

/** What jobs may take in a replica with a heap and, if its size is known, a disk; all in bytes. */
export function jobLimitBytes(
  { heapBytes, heapShare, diskBytes }: {
    heapBytes: number;
    heapShare: number;
    diskBytes: number | undefined;
  },
): number {
  const onDisk = diskBytes === undefined
    ? Infinity
    : Math.max(0, diskBytes - DISK_BASE_BYTES) / DISK_COPIES;
  return Math.min(heapBytes * heapShare, onDisk);
}

/** Size of the largest job that is accepted, in bytes. */
export function maxJobBytes(limit: number): number {
  return limit * MAX_JOB_SHARE;
}

/** Bytes that must be given back before the owner may add `bytes`; 0 if there is room. */
export function missingBytes(
  bytes: number,
  { limit, held, heldByOwner }: MemoryState,
): number {
  const needed = bytes * HEADROOM;
  const free = limit - held;
  const shortfall = needed - free;
  // What the owner gives back frees its share and, as free memory, raises it.
  const ownShortfall = (needed + heldByOwner - OWNER_SHARE * free) /
    (1 + OWNER_SHARE);
  return Math.max(0, shortfall, ownShortfall);
}

/** Number of runs that may be placed beside those that are active. */
export function runsLeft(
  { limit, runs, activeRuns }: {
    limit: number;
    /** What tasks that have run take, in bytes. */
    runs: number;
    activeRuns: number;
  },
): number {
  const freeBytes = limit * RUN_SHARE - runs;
  return Math.floor(
    Math.max(
      0,
      MIN_ACTIVE_RUNS - activeRuns,
      freeBytes / (TASK_BYTES + RUN_BYTES),
    ),
  );
}

/** Refuses a job that is larger than any may be. */
export function checkJobSize(
  bytes: number,
  limit: number,
): Result<void, Fault> {
  const most = maxJobBytes(limit);
  if (bytes <= most) {
    return Ok.EMPTY;
  }
  return Err(
    fault(
      "too_large",
      `Job takes ${
        kilobytes(bytes)
      } of memory in each replica; a job may take ${kilobytes(most)}`,
      {
        outcome: "not run",
        remedy: "Submit it as several jobs, or give the replicas a larger heap",
      },
    ),
  );
}

/** Fault for a job for which there is no room now. `owner` names whose share is full; undefined if all memory is. */
export function noMemoryFault(
  bytes: number,
  { limit, held, heldByOwner }: MemoryState,
  owner: string,
  retryAfterMs: number,
): Fault {
  const isFull = bytes * HEADROOM > limit - held;
  const message = isFull
    ? `Jobs take ${kilobytes(held)} of the ${
      kilobytes(limit)
    } of memory in each replica, too much for one of ${kilobytes(bytes)}`
    : `Jobs of ${owner} take ${
      kilobytes(heldByOwner)
    } of memory in each replica, too much for one of ${
      kilobytes(bytes)
    } beside the ${kilobytes(limit - held)} that are left for others`;
  return fault("overloaded", message, {
    outcome: "not run",
    retryAfterMs: Math.round(retryAfterMs),
  });
}

function kilobytes(bytes: number): string {
  return `${Math.ceil(bytes / BYTES_PER_KB)} KB`;
}

/**
 * Division of a machine's memory: the heap, the program beside it, and what callers may take.
 *
 * @module
 */

/** Memory of a machine and of a process on it, in bytes. */
export interface MachineMemory {
  machineBytes: number;
  /** Largest size of the heap. */
  heapBytes: number;
}

/** Program, runtime and threads beside the heap, in bytes. */
const PROGRAM_BYTES = 60_000_000;

/** Share of the heap that callers may take; the process's own state and garbage need the rest. */
const HEAP_SHARE = 0.25;

/** What callers may take in any case, in bytes, so that a process on a small machine serves too. */
const MIN_CALLER_BYTES = 8_000_000;

/**
 * What callers may make a process hold, in bytes. Their bytes lie partly on the heap and partly beside it, so they have to
 * fit into either.
 */
export function callerLimitBytes(
  { machineBytes, heapBytes }: MachineMemory,
): number {
  const besideHeap = machineBytes - heapBytes - PROGRAM_BYTES;
  return Math.max(
    MIN_CALLER_BYTES,
    Math.min(heapBytes * HEAP_SHARE, besideHeap),
  );
}

/**
 * The memory for callers of this process, and what operators see of it.
 *
 * @module
 */
import { totalmem } from "node:os";
import process from "node:process";
import { getHeapStatistics } from "node:v8";
import { callerLimitBytes, CallerMemory } from "@quetzalcove/core";
import type { Metrics } from "../observe/metrics.ts";

const BYTES_PER_MB = 1_000_000;

/** Creates the account of all callers from the heap of this process and the memory of its machine. */
export function createCallerMemory(
  memoryMb: number | null,
  metrics: Metrics,
): CallerMemory {
  const machineBytes = memoryMb === null
    ? systemMemoryBytes()
    : memoryMb * BYTES_PER_MB;
  const heapBytes = getHeapStatistics().heap_size_limit;
  const memory = new CallerMemory(
    callerLimitBytes({ machineBytes, heapBytes }),
  );
  metrics.gauge("quetzalcove_caller_bytes", () => memory.heldBytes);
  metrics.gauge("quetzalcove_caller_limit_bytes", () => memory.limitBytes);
  metrics.gauge(
    "quetzalcove_caller_largest_bytes",
    () => memory.largestHeldBytes,
  );
  return memory;
}

/** Memory of the machine, or what the system allows this process of it. */
function systemMemoryBytes(): number {
  const allowed = process.constrainedMemory();
  return allowed > 0 ? Math.min(allowed, totalmem()) : totalmem();
}

/**
 * What a process uses of its machine, as the kernel counts it.
 *
 * @module
 */
import { readdirSync, readFileSync } from "node:fs";

const PEAK_MEMORY = /^VmHWM:\s+(\d+) kB$/m;
const BYTES_PER_KB = 1_024;

/** Largest resident memory of a process since its start, in bytes; undefined if it does not run. */
export function peakMemoryBytes(pid: number): number | undefined {
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const [, kilobytes] = PEAK_MEMORY.exec(status) ?? [];
    return kilobytes === undefined
      ? undefined
      : Number(kilobytes) * BYTES_PER_KB;
  } catch {
    return undefined;
  }
}

/** Number of open descriptors of a process; undefined if it does not run. */
export function descriptorCount(pid: number): number | undefined {
  try {
    return readdirSync(`/proc/${pid}/fd`).length;
  } catch {
    return undefined;
  }
}

/** Samples the open descriptors of a process until the returned function is called, which returns the largest number. */
export function watchDescriptors(pid: number): () => number {
  let peak = 0;
  const sample = (): void => {
    peak = Math.max(peak, descriptorCount(pid) ?? 0);
  };
  const timer = setInterval(sample, 100);
  return () => {
    clearInterval(timer);
    return peak;
  };
}

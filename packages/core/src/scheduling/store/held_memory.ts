/**
 * What the jobs of a store take in memory, in all and by owner, and what has run of them. Each replica computes the same
 * from the log.
 *
 * @module
 */
import type { JobRecord } from "../model/job_record.ts";

/** Who takes memory: a customer, or the anonymous callers of a queue together. */
export type MemoryOwner = Pick<JobRecord, "customer" | "queue">;

export class HeldMemory {
  #total = 0;
  #freed = 0;
  #runs = 0;
  readonly #byOwner = new Map<string, number>();

  /** What all jobs take without their runs, in bytes. */
  get total(): number {
    return this.#total;
  }

  /** What tasks that have run and are not settled take, in bytes. */
  get runs(): number {
    return this.#runs;
  }

  /** All that jobs gave back since the process started, in bytes. */
  get freed(): number {
    return this.#freed;
  }

  /** What the jobs of one owner take, in bytes. */
  of(owner: MemoryOwner): number {
    return this.#byOwner.get(memoryKey(owner)) ?? 0;
  }

  /** Adds bytes of runs, or gives them back if they are negative. */
  addRuns(bytes: number): void {
    this.#runs += bytes;
  }

  /** Adds bytes of a job, or gives them back if they are negative. */
  add(owner: MemoryOwner, bytes: number): void {
    this.#total += bytes;
    this.#freed += Math.max(0, -bytes);
    const key = memoryKey(owner);
    const held = (this.#byOwner.get(key) ?? 0) + bytes;
    if (held === 0) {
      this.#byOwner.delete(key);
    } else {
      this.#byOwner.set(key, held);
    }
  }
}

/** Key of an owner; no two owners have the same. */
export function memoryKey({ customer, queue }: MemoryOwner): string {
  return customer === undefined ? `queue ${queue}` : `customer ${customer}`;
}

/**
 * Refuses what the replicas cannot hold in memory.
 *
 * @module
 */
import { Err, type Fault, Ok, type Result } from "@quetzalcove/core";
import {
  checkJobSize,
  HeldMemory,
  memoryKey,
  type MemoryOwner,
  type MemoryState,
  missingBytes,
  noMemoryFault,
  RefusalCounts,
  ReleaseForecast,
  runsLeft,
} from "@quetzalcove/core/scheduling";
import type { Clock } from "../clock.ts";
import type { Log } from "../observe/log.ts";
import type { JobConsensus } from "./job_state_machine.ts";

/** Dependencies of a memory admission. */
export interface MemoryAdmissionParts {
  consensus: Pick<JobConsensus, "state">;
  clock: Clock;
  log: Log;
  /** What jobs may take in each replica, in bytes. */
  limitBytes: number;
}

/** A job that is to be stored, and what it takes in memory. */
export interface SizedJob extends MemoryOwner {
  id: string;
  bytes: number;
}

/** Details of a refusal in the log. */
interface RefusalDetails {
  job: string;
  reason: "size" | "memory";
  owner: string;
  bytes: number;
  held: number;
  heldByOwner: number;
  limit: number;
}

export class MemoryAdmission {
  readonly #parts: MemoryAdmissionParts;
  /** What the jobs that are being stored will take. */
  readonly #pending = new HeldMemory();
  readonly #forecast = new ReleaseForecast();
  readonly #refusals = new RefusalCounts<RefusalDetails>();

  constructor(parts: MemoryAdmissionParts) {
    this.#parts = parts;
  }

  /** Accepts or refuses a job that is not stored. */
  check(job: SizedJob): Result<void, Fault> {
    const { bytes } = job;
    const state = this.#stateFor(job);
    const sized = checkJobSize(bytes, state.limit);
    if (sized.err) {
      this.#logRefusal(job, "size", state);
      return sized;
    }
    const missing = missingBytes(bytes, state);
    if (missing === 0) {
      return Ok.EMPTY;
    }
    this.#logRefusal(job, "memory", state);
    const { consensus, clock } = this.#parts;
    const retryAfterMs = this.#forecast.waitMs(
      missing,
      consensus.state.memory.freed,
      clock.monotonic(),
    );
    return Err(noMemoryFault(bytes, state, memoryKey(job), retryAfterMs));
  }

  /** Whether there is room for more of a job that is stored. */
  hasRoom(owner: MemoryOwner, bytes: number): boolean {
    return missingBytes(bytes, this.#stateFor(owner)) === 0;
  }

  /** Number of runs that may be placed beside those that are active. */
  get runsLeft(): number {
    const { memory, activeRuns } = this.#parts.consensus.state;
    const { limitBytes: limit } = this.#parts;
    return runsLeft({ limit, runs: memory.runs, activeRuns });
  }

  /** Counts a job that is being stored until the returned function is called. */
  reserve(owner: MemoryOwner, bytes: number): () => void {
    this.#pending.add(owner, bytes);
    return () => this.#pending.add(owner, -bytes);
  }

  /** Follows how much memory is given back, for the times at which callers are to come back. */
  observe(now: number): void {
    this.#forecast.record(this.#parts.consensus.state.memory.freed, now);
    for (const { count, latest } of this.#refusals.takeDue(now)) {
      this.#parts.log.warn("jobs.refused", { ...latest, count });
    }
  }

  #stateFor(owner: MemoryOwner): MemoryState {
    const { consensus, limitBytes } = this.#parts;
    const { memory } = consensus.state;
    return {
      limit: limitBytes,
      held: memory.total + this.#pending.total,
      heldByOwner: memory.of(owner) + this.#pending.of(owner),
    };
  }

  #logRefusal(
    job: SizedJob,
    reason: RefusalDetails["reason"],
    { held, heldByOwner, limit }: MemoryState,
  ): void {
    const owner = memoryKey(job);
    this.#refusals.record(`${reason} ${owner}`, {
      job: job.id,
      reason,
      owner,
      bytes: job.bytes,
      held,
      heldByOwner,
      limit: Math.round(limit),
    });
  }
}

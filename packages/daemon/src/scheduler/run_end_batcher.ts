/**
 * Group commit of run ends: those reported while a log entry is being committed share the next one, so that a busy
 * fleet does not need one log entry per run end.
 *
 * @module
 */
import type { Fault, Result } from "@quetzalcove/core";
import type {
  JobStoreOutput,
  RunEnd,
  RunKey,
} from "@quetzalcove/core/scheduling";
import type { Clock } from "../clock.ts";
import type { JobConsensus } from "./job_state_machine.ts";

interface RunEndBatcherParts {
  consensus: JobConsensus;
  clock: Clock;
}

interface Batch {
  ends: RunEnd[];
  /** Runs that never started and never will. */
  dropped: RunKey[];
  /** Runs whose tasks are no suspects of earlier crashes any more. */
  cleared: RunKey[];
}

/** Most runs of each kind in one log entry, so that it is applied between two heartbeats. */
const MAX_ENTRY_RUNS = 1_000;

export class RunEndBatcher {
  readonly #parts: RunEndBatcherParts;
  #pendingBatch: Batch = { ends: [], dropped: [], cleared: [] };
  /** Result of the pending batch; undefined while the batch is empty. */
  #pendingResult: Promise<Result<JobStoreOutput, Fault>> | undefined;
  /** Settles when the previous log entry is committed or has failed. */
  #lastCommit: Promise<unknown> = Promise.resolve();

  constructor(parts: RunEndBatcherParts) {
    this.#parts = parts;
  }

  /** Adds ended, dropped and cleared runs to the pending batch; resolves when they are committed or have failed. */
  add(
    ends: readonly RunEnd[],
    dropped: readonly RunKey[],
    cleared: readonly RunKey[] = [],
  ): Promise<Result<JobStoreOutput, Fault>> {
    this.#pendingBatch.ends.push(...ends);
    this.#pendingBatch.dropped.push(...dropped);
    this.#pendingBatch.cleared.push(...cleared);
    if (this.#pendingResult === undefined) {
      this.#pendingResult = this.#lastCommit.then(() => this.#commit());
      this.#lastCommit = this.#pendingResult;
    }
    return this.#pendingResult;
  }

  async #commit(): Promise<Result<JobStoreOutput, Fault>> {
    const { consensus, clock } = this.#parts;
    const batch = this.#pendingBatch;
    this.#pendingBatch = { ends: [], dropped: [], cleared: [] };
    this.#pendingResult = undefined;
    const atMs = clock.wall();
    const parts = partsOf(batch);
    const results = await Promise.all(
      parts.map((part) => consensus.propose({ kind: "settle", ...part, atMs })),
    );
    return results.find((result) => result.err) ?? results[0]!;
  }
}

/** Parts of a batch that become a log entry each; their order is that of the batch. */
function partsOf({ ends, dropped, cleared }: Batch): Batch[] {
  const count = Math.max(
    1,
    ...[ends, dropped, cleared].map(({ length }) =>
      Math.ceil(length / MAX_ENTRY_RUNS)
    ),
  );
  return Array.from({ length: count }, (_, part) => {
    const from = part * MAX_ENTRY_RUNS;
    const to = from + MAX_ENTRY_RUNS;
    return {
      ends: ends.slice(from, to),
      dropped: dropped.slice(from, to),
      cleared: cleared.slice(from, to),
    };
  });
}

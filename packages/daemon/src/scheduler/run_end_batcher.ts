/**
 * What workers list about their runs, on its way into the log. Workers list ends one by one; those that come while an
 * entry is being committed share the next one, so that a busy fleet does not cost an entry for each end (group commit).
 *
 * @module
 */
import type { Fault, Result } from "@quetzalcove/core";
import type { BookOutput, RunEnd, RunKey } from "@quetzalcove/core/scheduling";
import type { Clock } from "../clock.ts";
import type { JobConsensus } from "./job_state_machine.ts";

interface RunEndBatcherParts {
  consensus: JobConsensus;
  clock: Clock;
}

interface Batch {
  ends: RunEnd[];
  /** Runs that surely never started. */
  dropped: RunKey[];
}

export class RunEndBatcher {
  readonly #parts: RunEndBatcherParts;
  #pendingBatch: Batch = { ends: [], dropped: [] };
  /** Outcome of the batch that gathers. */
  #pendingResult: Promise<Result<BookOutput, Fault>> | undefined;
  /** Ends when the entry before is committed, or lost. */
  #lastCommit: Promise<unknown> = Promise.resolve();

  constructor(parts: RunEndBatcherParts) {
    this.#parts = parts;
  }

  /** Stores ends and dropped runs; resolves when they are committed. */
  add(
    ends: readonly RunEnd[],
    dropped: readonly RunKey[],
  ): Promise<Result<BookOutput, Fault>> {
    this.#pendingBatch.ends.push(...ends);
    this.#pendingBatch.dropped.push(...dropped);
    if (this.#pendingResult === undefined) {
      this.#pendingResult = this.#lastCommit.then(() => this.#commit());
      this.#lastCommit = this.#pendingResult;
    }
    return this.#pendingResult;
  }

  #commit(): Promise<Result<BookOutput, Fault>> {
    const { consensus, clock } = this.#parts;
    const { ends, dropped } = this.#pendingBatch;
    this.#pendingBatch = { ends: [], dropped: [] };
    this.#pendingResult = undefined;
    return consensus.propose({
      kind: "settle",
      ends,
      dropped,
      atMs: clock.wall(),
    });
  }
}

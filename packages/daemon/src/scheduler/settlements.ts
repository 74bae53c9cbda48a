/**
 * What workers list about their runs, on its way into the log. Workers list ends one by one; those that come while an
 * entry is being committed share the next one, so that a busy fleet does not cost an entry for each end (group commit).
 *
 * @module
 */
import type { Fault, Result } from "@quetzalcove/core";
import type { BookOutput, RunEnd, RunKey } from "@quetzalcove/core/scheduling";
import type { Clock } from "../clock.ts";
import type { BookConsensus } from "./book_machine.ts";

interface SettlementParts {
  consensus: BookConsensus;
  clock: Clock;
}

interface Batch {
  ends: RunEnd[];
  /** Runs that surely never started. */
  dropped: RunKey[];
}

export class Settlements {
  readonly #parts: SettlementParts;
  #gathering: Batch = { ends: [], dropped: [] };
  /** Outcome of the batch that gathers. */
  #next: Promise<Result<BookOutput, Fault>> | undefined;
  /** Ends when the entry before is committed, or lost. */
  #last: Promise<unknown> = Promise.resolve();

  constructor(parts: SettlementParts) {
    this.#parts = parts;
  }

  /** Stores ends and dropped runs; resolves when they are committed. */
  add(
    ends: readonly RunEnd[],
    dropped: readonly RunKey[],
  ): Promise<Result<BookOutput, Fault>> {
    this.#gathering.ends.push(...ends);
    this.#gathering.dropped.push(...dropped);
    if (this.#next === undefined) {
      this.#next = this.#last.then(() => this.#store());
      this.#last = this.#next;
    }
    return this.#next;
  }

  #store(): Promise<Result<BookOutput, Fault>> {
    const { consensus, clock } = this.#parts;
    const { ends, dropped } = this.#gathering;
    this.#gathering = { ends: [], dropped: [] };
    this.#next = undefined;
    return consensus.propose({
      kind: "settle",
      ends,
      dropped,
      atMs: clock.wall(),
    });
  }
}

/**
 * Submissions of one turn of the event loop share one log entry.
 *
 * @module
 */
import type { Fault, Result } from "@quetzalcove/core";
import type { BookOutput, SubmittedJob } from "@quetzalcove/core/scheduling";
import type { Clock } from "../clock.ts";
import type { BookConsensus } from "./book_machine.ts";

interface BatchParts {
  consensus: BookConsensus;
  clock: Clock;
  onChange: () => void;
}

export class SubmissionBatch {
  readonly #parts: BatchParts;
  #jobs: SubmittedJob[] = [];
  #stored: Promise<Result<BookOutput, Fault>> | undefined;

  constructor(parts: BatchParts) {
    this.#parts = parts;
  }

  /** Stores a job with the others of this turn; ends when it is committed. */
  add(job: SubmittedJob): Promise<Result<BookOutput, Fault>> {
    this.#jobs.push(job);
    this.#stored ??= new Promise((resolve) => {
      setImmediate(() => resolve(this.#store()));
    });
    return this.#stored;
  }

  async #store(): Promise<Result<BookOutput, Fault>> {
    const { consensus, clock, onChange } = this.#parts;
    const jobs = this.#jobs;
    this.#jobs = [];
    this.#stored = undefined;
    const stored = await consensus.propose({
      kind: "submit",
      jobs,
      atMs: clock.wall(),
    });
    onChange();
    return stored;
  }
}

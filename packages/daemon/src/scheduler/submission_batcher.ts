/**
 * Group commit of job submissions: those of one turn of the event loop share one log entry.
 *
 * @module
 */
import type { Fault, Result } from "@quetzalcove/core";
import type {
  JobStoreOutput,
  SubmittedJob,
} from "@quetzalcove/core/scheduling";
import type { Clock } from "../clock.ts";
import type { JobConsensus } from "./job_state_machine.ts";

interface SubmissionBatcherParts {
  consensus: JobConsensus;
  clock: Clock;
  onChange: () => void;
}

export class SubmissionBatcher {
  readonly #parts: SubmissionBatcherParts;
  #pendingJobs: SubmittedJob[] = [];
  #pendingResult: Promise<Result<JobStoreOutput, Fault>> | undefined;

  constructor(parts: SubmissionBatcherParts) {
    this.#parts = parts;
  }

  /** Adds a job to the batch of this turn; resolves when it is committed or has failed. */
  add(job: SubmittedJob): Promise<Result<JobStoreOutput, Fault>> {
    this.#pendingJobs.push(job);
    this.#pendingResult ??= new Promise((resolve) => {
      setImmediate(() => resolve(this.#commit()));
    });
    return this.#pendingResult;
  }

  async #commit(): Promise<Result<JobStoreOutput, Fault>> {
    const { consensus, clock, onChange } = this.#parts;
    const jobs = this.#pendingJobs;
    this.#pendingJobs = [];
    this.#pendingResult = undefined;
    const stored = await consensus.propose({
      kind: "submit",
      jobs,
      atMs: clock.wall(),
    });
    onChange();
    return stored;
  }
}

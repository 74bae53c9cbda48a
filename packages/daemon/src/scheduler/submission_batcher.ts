/**
 * Group commit of job submissions: small ones of one turn of the event loop share log entries.
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

/** A log entry with submissions. */
interface Batch {
  jobs: SubmittedJob[];
  bytes: number;
  result: Promise<Result<JobStoreOutput, Fault>>;
}

/** Size of a batch to which no more jobs are added, so that one entry never fills a message between replicas. */
const FULL_BATCH_BYTES = 65_536;

export class SubmissionBatcher {
  readonly #parts: SubmissionBatcherParts;
  /** The batch of this turn that is not full. */
  #openBatch: Batch | undefined;

  constructor(parts: SubmissionBatcherParts) {
    this.#parts = parts;
  }

  /** Adds a job of an estimated size to a batch of this turn; resolves when it is committed or has failed. */
  add(
    job: SubmittedJob,
    bytes: number,
  ): Promise<Result<JobStoreOutput, Fault>> {
    const open = this.#openBatch;
    if (open !== undefined && open.bytes + bytes <= FULL_BATCH_BYTES) {
      open.jobs.push(job);
      open.bytes += bytes;
      return open.result;
    }
    const jobs = [job];
    const result = new Promise<Result<JobStoreOutput, Fault>>((resolve) => {
      setImmediate(() => {
        this.#openBatch = undefined;
        resolve(this.#commit(jobs));
      });
    });
    this.#openBatch = { jobs, bytes, result };
    return result;
  }

  async #commit(jobs: SubmittedJob[]): Promise<Result<JobStoreOutput, Fault>> {
    const { consensus, clock, onChange } = this.#parts;
    const stored = await consensus.propose({
      kind: "submit",
      jobs,
      atMs: clock.wall(),
    });
    onChange();
    return stored;
  }
}

/**
 * Digest of a submission, to distinguish a repeated submission from another job with the same id.
 *
 * @module
 */
import { fnv1a } from "../hash.ts";
import type { SubmittedJob } from "./job.ts";

/** The FNV-1a hash of the submitted fields. */
export function digestOf(job: SubmittedJob): number {
  return fnv1a(JSON.stringify([
    job.team,
    job.kind,
    job.pool,
    job.priority,
    job.cores,
    job.memoryGb,
    job.accelerators,
    job.runtimeMs,
    job.deadline ?? null,
    job.restartable,
    job.task,
  ]));
}

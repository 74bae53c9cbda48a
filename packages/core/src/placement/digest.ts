/**
 * Digest of a submission, to distinguish a repeated submission from another job with the same id.
 *
 * @module
 */
import type { SubmittedJob } from "./job.ts";

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** The FNV-1a hash of the submitted fields. */
export function digestOf(job: SubmittedJob): number {
  const text = JSON.stringify([
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
  ]);
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  return hash >>> 0;
}

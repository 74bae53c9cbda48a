/**
 * Indexes of the candidates of a placement pass.
 *
 * @module
 */
import type { CandidateWorker } from "./candidate_worker.ts";
import { FreeCpuIndex } from "./free_cpu_index.ts";

const INDEXES = new WeakMap<
  readonly CandidateWorker[],
  FreeCpuIndex<CandidateWorker>
>();

/** Indexes a list of candidates for one pass, if all are scored by their free CPU. */
export function indexFreeCpu(candidates: readonly CandidateWorker[]): void {
  if (candidates.every((candidate) => candidate.isScoredByFreeCpu)) {
    const index = new FreeCpuIndex(candidates);
    INDEXES.set(candidates, index);
    for (const candidate of candidates) {
      candidate.cpuIndex = index;
    }
  }
}

/** The index of a list of candidates; undefined for lists without one. */
export function freeCpuIndexOf(
  candidates: readonly CandidateWorker[],
): FreeCpuIndex<CandidateWorker> | undefined {
  return INDEXES.get(candidates);
}

/**
 * Candidates of a pool in the order of their free CPU, so that best fit starts at the fullest worker that a task may
 * fit on in place of trying all.
 *
 * @module
 */
import type { CandidateWorker } from "./task_placement.ts";

export class FreeCpuIndex {
  /** By free CPU, then by position in the list of candidates. */
  readonly #sorted: CandidateWorker[];
  readonly #position = new Map<CandidateWorker, number>();

  constructor(candidates: readonly CandidateWorker[]) {
    candidates.forEach((each, position) => this.#position.set(each, position));
    this.#sorted = [...candidates].sort((a, b) => this.#compare(a, b));
  }

  /** Candidates with at least as much free CPU, the fullest first. */
  *from(cpuMilli: number): Generator<CandidateWorker> {
    for (
      let index = this.#firstWith(cpuMilli);
      index < this.#sorted.length;
      index++
    ) {
      yield this.#sorted[index] as CandidateWorker;
    }
  }

  /** Changes the free CPU of a candidate and puts it in its new place. */
  update(candidate: CandidateWorker, change: () => void): void {
    this.#sorted.splice(this.#placeOf(candidate), 1);
    change();
    this.#sorted.splice(this.#placeOf(candidate), 0, candidate);
  }

  #firstWith(cpuMilli: number): number {
    return this.#search(({ free }) => free.cpuMilli < cpuMilli);
  }

  #placeOf(candidate: CandidateWorker): number {
    return this.#search((other) => this.#compare(other, candidate) < 0);
  }

  /** Index of the first candidate that is not before a place (binary search). */
  #search(isBefore: (candidate: CandidateWorker) => boolean): number {
    let low = 0;
    let high = this.#sorted.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (isBefore(this.#sorted[middle] as CandidateWorker)) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  #compare(a: CandidateWorker, b: CandidateWorker): number {
    return a.free.cpuMilli - b.free.cpuMilli ||
      (this.#position.get(a) ?? 0) - (this.#position.get(b) ?? 0);
  }
}

const INDEXES = new WeakMap<readonly CandidateWorker[], FreeCpuIndex>();

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
): FreeCpuIndex | undefined {
  return INDEXES.get(candidates);
}

/**
 * Candidates of a pool in the order of their free CPU, so that best fit starts at the fullest worker that a task may
 * fit on in place of trying all.
 *
 * @module
 */
import type { Resources } from "../model/batch_job.ts";

export class FreeCpuIndex<Candidate extends { readonly free: Resources }> {
  /** By free CPU, then by position in the list of candidates. */
  readonly #sorted: Candidate[];
  readonly #position = new Map<Candidate, number>();

  constructor(candidates: readonly Candidate[]) {
    candidates.forEach((each, position) => this.#position.set(each, position));
    this.#sorted = [...candidates].sort((a, b) => this.#compare(a, b));
  }

  /** Candidates with at least as much free CPU, the fullest first. */
  *from(cpuMilli: number): Generator<Candidate> {
    for (
      let index = this.#firstWith(cpuMilli);
      index < this.#sorted.length;
      index++
    ) {
      yield this.#sorted[index] as Candidate;
    }
  }

  /** Changes the free CPU of a candidate and puts it in its new place. */
  update(candidate: Candidate, change: () => void): void {
    this.#sorted.splice(this.#placeOf(candidate), 1);
    change();
    this.#sorted.splice(this.#placeOf(candidate), 0, candidate);
  }

  #firstWith(cpuMilli: number): number {
    return this.#search(({ free }) => free.cpuMilli < cpuMilli);
  }

  #placeOf(candidate: Candidate): number {
    return this.#search((other) => this.#compare(other, candidate) < 0);
  }

  /** Index of the first candidate that is not before a place (binary search). */
  #search(isBefore: (candidate: Candidate) => boolean): number {
    let low = 0;
    let high = this.#sorted.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (isBefore(this.#sorted[middle] as Candidate)) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  #compare(a: Candidate, b: Candidate): number {
    return a.free.cpuMilli - b.free.cpuMilli ||
      (this.#position.get(a) ?? 0) - (this.#position.get(b) ?? 0);
  }
}

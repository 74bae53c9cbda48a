/**
 * Requests in progress at targets, by VM.
 *
 * @module
 */
export class InFlight {
  readonly #counts = new Map<string, number>();

  /** Counts a request in until the returned function is called. */
  enter(vm: string): () => void {
    this.#counts.set(vm, this.of(vm) + 1);
    return () => {
      const left = this.of(vm) - 1;
      if (left > 0) {
        this.#counts.set(vm, left);
      } else {
        this.#counts.delete(vm);
      }
    };
  }

  of(vm: string): number {
    return this.#counts.get(vm) ?? 0;
  }

  entries(): IterableIterator<[string, number]> {
    return this.#counts.entries();
  }
}

/**
 * Counts requests in flight at targets, by VM.
 *
 * @module
 */
export class InFlightRequests {
  readonly #counts = new Map<string, number>();

  /** Counts a request as in flight until the returned function is called. */
  start(vm: string): () => void {
    this.#counts.set(vm, this.count(vm) + 1);
    return () => {
      const remaining = this.count(vm) - 1;
      if (remaining > 0) {
        this.#counts.set(vm, remaining);
      } else {
        this.#counts.delete(vm);
      }
    };
  }

  count(vm: string): number {
    return this.#counts.get(vm) ?? 0;
  }

  entries(): IterableIterator<[string, number]> {
    return this.#counts.entries();
  }
}

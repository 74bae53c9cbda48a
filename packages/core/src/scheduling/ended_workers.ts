/**
 * Workers that have ended permanently, so that stale reports of theirs are recognized.
 *
 * @module
 */

/** Maximum number of ended workers kept; stale reports arrive within seconds. */
const MAX_ENDED_WORKERS = 4_096;

export class EndedWorkers {
  /** Oldest first. */
  readonly #ids = new Set<string>();

  get ids(): Iterable<string> {
    return this.#ids;
  }

  has(id: string): boolean {
    return this.#ids.has(id);
  }

  add(id: string): void {
    this.#ids.add(id);
    const [oldest] = this.#ids;
    if (this.#ids.size > MAX_ENDED_WORKERS && oldest !== undefined) {
      this.#ids.delete(oldest);
    }
  }
}

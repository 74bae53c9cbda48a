/**
 * Divides the time for parsing among the connections that have sent more than a little: each parses a slice in turn, and
 * connections with new requests are served in between.
 *
 * @module
 */

/** Slices that are parsed before other events are handled. */
const SLICES_PER_TURN = 8;

/** A connection with bytes that are not parsed yet. */
export interface Parsing {
  /** Parses one slice; returns whether there is more to parse now. */
  parseSlice(): boolean;
}

export class ParseTurns {
  readonly #waiting = new Set<Parsing>();
  #isScheduled = false;

  /** Adds a connection behind those that wait already. */
  add(connection: Parsing): void {
    this.#waiting.add(connection);
    this.#schedule();
  }

  remove(connection: Parsing): void {
    this.#waiting.delete(connection);
  }

  #schedule(): void {
    if (!this.#isScheduled && this.#waiting.size > 0) {
      this.#isScheduled = true;
      setImmediate(() => {
        this.#isScheduled = false;
        this.#run();
        this.#schedule();
      });
    }
  }

  #run(): void {
    for (let slices = 0; slices < SLICES_PER_TURN; slices++) {
      const [next] = this.#waiting;
      if (next === undefined) {
        return;
      }
      this.#waiting.delete(next);
      if (next.parseSlice()) {
        this.#waiting.add(next);
      }
    }
  }
}

/**
 * Limits on the starts that wait for an answer.
 *
 * A worker that gets more starts than it can answer in time gets them all again. Each start carries the text of its job,
 * so that those of a job with a long text would keep the leader's heartbeats waiting on its links.
 *
 * @module
 */

/** Most starts that wait for the answer of one worker. */
const MAX_STARTS_OF_WORKER = 32;

/** Most bytes of all starts that wait; a larger start waits alone. */
const MAX_BYTES = 2_097_152;

export class StartWindow {
  #bytes = 0;
  #hasHeld = false;
  readonly #startsOf = new Map<string, number>();

  /** Counts a start if it may be sent now; otherwise it is held back, to be tried again. */
  tryOpen(worker: string, bytes: number): boolean {
    const starts = this.#startsOf.get(worker) ?? 0;
    const hasRoom = this.#bytes === 0 || this.#bytes + bytes <= MAX_BYTES;
    if (starts >= MAX_STARTS_OF_WORKER || !hasRoom) {
      this.#hasHeld = true;
      return false;
    }
    this.#startsOf.set(worker, starts + 1);
    this.#bytes += bytes;
    return true;
  }

  /** Stops counting a start that was answered or given up; returns whether any has been held back since the last call. */
  close(worker: string, bytes: number): boolean {
    const starts = (this.#startsOf.get(worker) ?? 0) - 1;
    if (starts > 0) {
      this.#startsOf.set(worker, starts);
    } else {
      this.#startsOf.delete(worker);
    }
    this.#bytes -= bytes;
    const hadHeld = this.#hasHeld;
    this.#hasHeld = false;
    return hadHeld;
  }
}

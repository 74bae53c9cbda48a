/**
 * Batches items for one peer into frames: those of one turn of the event loop go together, and while there is much to
 * send, a frame leaves at most every few milliseconds.
 *
 * @module
 */
import type { Clock } from "../../clock.ts";

/** Shortest time between two frames; small against the duration of a task. */
const MIN_FRAME_INTERVAL_MS = 10;

export class FrameBatcher<T> {
  readonly #clock: Pick<Clock, "monotonic">;
  readonly #send: (items: T[]) => void;
  #items: T[] = [];
  #sentAt = -Infinity;

  constructor(clock: Pick<Clock, "monotonic">, send: (items: T[]) => void) {
    this.#clock = clock;
    this.#send = send;
  }

  add(item: T): void {
    this.#items.push(item);
    if (this.#items.length > 1) {
      return;
    }
    const pauseMs = this.#sentAt + MIN_FRAME_INTERVAL_MS -
      this.#clock.monotonic();
    if (pauseMs > 0) {
      setTimeout(() => this.#flush(), pauseMs);
    } else {
      setImmediate(() => this.#flush());
    }
  }

  #flush(): void {
    this.#sentAt = this.#clock.monotonic();
    this.#send(this.#items.splice(0));
  }
}

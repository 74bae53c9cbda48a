/**
 * In-process links that deliver each message after a fixed delay.
 *
 * @module
 */

interface Delivery {
  at: number;
  deliver: () => void;
}

/** Delays messages. It polls, because Node.js timers are too coarse for fractions of a millisecond. */
export class DelayedNetwork {
  readonly #oneWayMs: number;
  readonly #clock: () => number;
  /** Oldest first; all have the same delay, so this is also the order of delivery. */
  #deliveries: Delivery[] = [];
  #polling = false;
  /** Total length of the sent messages, in UTF-16 code units. */
  sentLength = 0;
  sentMessages = 0;

  constructor(oneWayMs: number, clock: () => number) {
    this.#oneWayMs = oneWayMs;
    this.#clock = clock;
  }

  send(text: string, receive: (text: string) => void): void {
    this.sentLength += text.length;
    this.sentMessages += 1;
    const at = this.#clock() + this.#oneWayMs;
    this.#deliveries.push({ at, deliver: () => receive(text) });
    if (!this.#polling) {
      this.#polling = true;
      setImmediate(() => this.#poll());
    }
  }

  #poll(): void {
    const now = this.#clock();
    let due = this.#deliveries.findIndex(({ at }) => at > now);
    due = due === -1 ? this.#deliveries.length : due;
    this.#deliveries.splice(0, due).forEach(({ deliver }) => deliver());
    this.#polling = this.#deliveries.length > 0;
    if (this.#polling) {
      setImmediate(() => this.#poll());
    }
  }
}

/**
 * A network that loses, repeats, reorders and holds back messages, and that can be cut in one direction.
 *
 * @module
 */
import type { RaftMessage } from "@quetzalcove/core";

/** A random whole number below a bound. */
export type RandomInt = (bound: number) => number;

export class Network {
  #messages: RaftMessage[] = [];
  readonly #cut = new Set<string>();

  /** Number of messages under way. */
  get size(): number {
    return this.#messages.length;
  }

  send(messages: readonly RaftMessage[]): void {
    this.#messages.push(...messages);
  }

  cut(from: string, to: string): void {
    this.#cut.add(`${from}>${to}`);
  }

  /** Separates the replicas into those that a test accepts and the others. */
  separate(ids: readonly string[], isInside: (id: string) => boolean): void {
    this.#cut.clear();
    for (const from of ids) {
      for (const to of ids.filter((id) => isInside(id) !== isInside(from))) {
        this.cut(from, to);
      }
    }
  }

  heal(): void {
    this.#cut.clear();
  }

  /** Forgets all messages under way. */
  clear(): void {
    this.#messages = [];
  }

  /** Takes a message to be delivered now, if its lot is not another one. */
  take(lot: RandomInt, lossPercent: number): RaftMessage | undefined {
    if (this.size === 0) {
      return undefined;
    }
    const position = lossPercent === 0 ? 0 : lot(this.#messages.length);
    const [message] = this.#messages.splice(position, 1);
    if (message === undefined || this.#isCut(message)) {
      return undefined;
    }
    const roll = lot(100);
    const isLost = roll < lossPercent;
    const isDuplicated = !isLost && roll < 2 * lossPercent;
    const isDelayed = !isLost && !isDuplicated && roll < 3 * lossPercent;
    if (isDuplicated || isDelayed) {
      this.#messages.push(message);
    }
    return isLost || isDelayed ? undefined : message;
  }

  #isCut({ from, to }: RaftMessage): boolean {
    return this.#cut.has(`${from}>${to}`);
  }
}

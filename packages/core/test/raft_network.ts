/**
 * A network that loses, duplicates, reorders and delays messages, and that can be cut in one direction.
 *
 * @module
 */
import type { RaftMessage } from "@quetzalcove/core";

/** Returns a random integer from 0 to below a bound. */
export type RandomInt = (bound: number) => number;

export class Network {
  #messages: RaftMessage[] = [];
  readonly #cut = new Set<string>();

  /** Number of messages in flight. */
  get size(): number {
    return this.#messages.length;
  }

  send(messages: readonly RaftMessage[]): void {
    this.#messages.push(...messages);
  }

  cut(from: string, to: string): void {
    this.#cut.add(`${from}>${to}`);
  }

  /** Cuts all links between the replicas for which a predicate holds and the others. */
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

  /** Drops all messages in flight. */
  clear(): void {
    this.#messages = [];
  }

  /**
   * Takes a random message to be delivered now, or undefined if it is lost or delayed. It is lost, duplicated and
   * delayed with a probability of `lossPercent` each; at 0, messages are delivered in order.
   */
  take(randomInt: RandomInt, lossPercent: number): RaftMessage | undefined {
    if (this.size === 0) {
      return undefined;
    }
    const position = lossPercent === 0 ? 0 : randomInt(this.#messages.length);
    const [message] = this.#messages.splice(position, 1);
    if (message === undefined || this.#isCut(message)) {
      return undefined;
    }
    const roll = randomInt(100);
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

/**
 * Event queue with a simulated clock. Actions run in order of time; at equal times, in the order they were scheduled.
 *
 * @module
 */

interface Event {
  at: number;
  order: number;
  action: () => void;
}

/** Simulated clock and its pending actions, kept in a binary heap. */
export class EventQueue {
  now = 0;
  readonly #heap: Event[] = [];
  #order = 0;

  /** Schedules an action after a delay in milliseconds. */
  after(ms: number, action: () => void): void {
    this.at(this.now + ms, action);
  }

  /** Schedules an action at an absolute time in milliseconds. */
  at(time: number, action: () => void): void {
    this.#order += 1;
    const event = { at: time, order: this.#order, action };
    let index = this.#heap.length;
    this.#heap.push(event);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const above = this.#heap[parent] as Event;
      if (!precedes(event, above)) {
        break;
      }
      this.#heap[index] = above;
      index = parent;
    }
    this.#heap[index] = event;
  }

  /** Runs every action due up to a time. */
  runUntil(time: number): void {
    let first = this.#heap[0];
    while (first !== undefined && first.at <= time) {
      this.#removeFirst();
      this.now = first.at;
      first.action();
      first = this.#heap[0];
    }
    this.now = time;
  }

  #removeFirst(): void {
    const last = this.#heap.pop() as Event;
    const size = this.#heap.length;
    if (size === 0) {
      return;
    }
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= size) {
        break;
      }
      const right = this.#heap[child + 1];
      if (
        right !== undefined && precedes(right, this.#heap[child] as Event)
      ) {
        child += 1;
      }
      const below = this.#heap[child] as Event;
      if (!precedes(below, last)) {
        break;
      }
      this.#heap[index] = below;
      index = child;
    }
    this.#heap[index] = last;
  }
}

function precedes(a: Event, b: Event): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

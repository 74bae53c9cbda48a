/**
 * How long steps have waited since they last got a run, as the leader of one term has seen it.
 *
 * @module
 */
import type { WaitingStep } from "./job_record.ts";

interface Wait {
  since: number;
  /** Number of waiting tasks when last seen. */
  tasks: number;
}

export class WaitTimes {
  #waits = new Map<string, Wait>();

  /** Records the steps that wait now, and forgets all others. */
  update(waiting: Iterable<WaitingStep>, now: number): void {
    const waits = new Map<string, Wait>();
    for (const { name, indices } of waiting) {
      const known = this.#waits.get(name);
      const hasProgressed = known === undefined || indices.size < known.tasks;
      waits.set(name, {
        since: hasProgressed ? now : known.since,
        tasks: indices.size,
      });
    }
    this.#waits = waits;
  }

  /** Time since a step began to wait or last got a run, in milliseconds. */
  waitedMs({ name }: WaitingStep, now: number): number {
    return now - (this.#waits.get(name)?.since ?? now);
  }
}

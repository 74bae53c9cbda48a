/**
 * How long steps have waited since they last got a run, as the leader of one term has seen it.
 *
 * @module
 */
import type { WaitingStep } from "../model/job_record.ts";

interface Wait {
  since: number;
  /** Number of waiting tasks when last seen. */
  tasks: number;
  seenAt: number;
}

export class WaitTimes {
  readonly #waits = new Map<string, Wait>();

  /** Records that a step waits now. */
  record({ name, indices }: WaitingStep, now: number): void {
    const wait = this.#waits.get(name);
    if (wait === undefined) {
      this.#waits.set(name, { since: now, tasks: indices.size, seenAt: now });
      return;
    }
    if (indices.size < wait.tasks) {
      wait.since = now;
    }
    wait.tasks = indices.size;
    wait.seenAt = now;
  }

  /** Forgets the steps that were not recorded at present. */
  prune(now: number): void {
    for (const [name, { seenAt }] of this.#waits) {
      if (seenAt < now) {
        this.#waits.delete(name);
      }
    }
  }

  /** Time since a step began to wait or last got a run, in milliseconds. */
  waitedMs({ name }: WaitingStep, now: number): number {
    return now - (this.#waits.get(name)?.since ?? now);
  }
}

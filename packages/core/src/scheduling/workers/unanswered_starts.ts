/**
 * Starts that got no answer, and may still be carried out by their worker or by its next life.
 *
 * Within one life the worker's memory of run numbers makes a late start harmless once the run was stopped. The next life
 * remembers nothing, so each copy of a start counts until it was answered or is too old to arrive.
 *
 * @module
 */
import type { RunKey } from "../model/command.ts";
import { runName } from "../model/task_name.ts";

/** Longest time after which an order without an answer is carried out: 12 s by the platform, and 1 s at a relay. */
export const LONGEST_ORDER_DELAY_MS = 13_000;

/** Copies of the start of one run without an answer. */
interface Copies {
  key: RunKey;
  sentAt: number[];
}

export class UnansweredStarts {
  /** Copies by task and run, by worker. */
  readonly #workers = new Map<string, Map<string, Copies>>();

  /** Records that a start is being sent. */
  recordSent({ task, run, worker }: RunKey, sentAt: number): void {
    let runs = this.#workers.get(worker);
    if (runs === undefined) {
      runs = new Map();
      this.#workers.set(worker, runs);
    }
    const name = runName({ task, run });
    const copies = runs.get(name) ?? { key: { task, run, worker }, sentAt: [] };
    copies.sentAt.push(sentAt);
    runs.set(name, copies);
  }

  /** Records that the copy sent at a time was answered. */
  recordAnswered(key: RunKey, sentAt: number): void {
    this.#retain(key.worker, runName(key), (at) => at !== sentAt);
  }

  /** Runs with a start that a worker may still carry out. */
  mayArrive(worker: string, now: number): RunKey[] {
    const runs = this.#workers.get(worker);
    [...runs?.keys() ?? []].forEach((name) =>
      this.#retain(worker, name, (at) => now - at <= LONGEST_ORDER_DELAY_MS)
    );
    return [...runs?.values() ?? []].map(({ key }) => key);
  }

  /** Forgets the starts that are too old to be carried out. */
  prune(now: number): void {
    [...this.#workers.keys()].forEach((worker) => this.mayArrive(worker, now));
  }

  #retain(
    worker: string,
    name: string,
    isPending: (sentAt: number) => boolean,
  ): void {
    const runs = this.#workers.get(worker);
    const copies = runs?.get(name);
    if (runs === undefined || copies === undefined) {
      return;
    }
    copies.sentAt = copies.sentAt.filter(isPending);
    if (copies.sentAt.length === 0) {
      runs.delete(name);
    }
    if (runs.size === 0) {
      this.#workers.delete(worker);
    }
  }
}

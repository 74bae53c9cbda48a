/**
 * Requests that wait for a slot, by class and earliest deadline first within a class.
 *
 * @module
 */
import { PRIORITIES, type Priority } from "../names.ts";
import type { Completion, Submission } from "./submission.ts";

/** A request that the router is responsible for. */
export interface PendingRequest extends Submission {
  submittedAt: number;
  /** Time from which waiting on is useless. */
  queueDeadline: number;
  attempt: number;
  /** Targets that were tried. */
  tried: string[];
  /** How the last attempt that may have run ended. */
  mayHaveRun?: Completion;
}

/** The queues of one service at one entry. */
export class RequestQueue {
  readonly #queues: Record<Priority, PendingRequest[]> = {
    urgent: [],
    live: [],
    overnight: [],
  };

  get length(): number {
    return this.urgentAndLiveLength + this.#queues.overnight.length;
  }

  get urgentAndLiveLength(): number {
    return this.#queues.urgent.length + this.#queues.live.length;
  }

  ofPriority(priority: Priority): readonly PendingRequest[] {
    return this.#queues[priority];
  }

  /** How many requests start before a new one of this class with this deadline. */
  countAhead(priority: Priority, deadline: number): number {
    const rank = PRIORITIES.indexOf(priority);
    const before = PRIORITIES.slice(0, rank);
    const higher = before.reduce((sum, p) => sum + this.#queues[p].length, 0);
    return higher + insertionIndex(this.#queues[priority], deadline);
  }

  add(request: PendingRequest): void {
    const queue = this.#queues[request.priority];
    queue.splice(insertionIndex(queue, request.deadline), 0, request);
  }

  remove(request: PendingRequest): boolean {
    const queue = this.#queues[request.priority];
    const index = queue.indexOf(request);
    if (index < 0) {
      return false;
    }
    queue.splice(index, 1);
    return true;
  }

  /** Every waiting request. */
  all(): PendingRequest[] {
    return PRIORITIES.flatMap((priority) => this.#queues[priority]);
  }

  /** Every request whose time to give up has come. */
  expired(now: number): PendingRequest[] {
    return this.all().filter((request) => request.queueDeadline <= now);
  }

  /** The earliest time at which a waiting request gives up. */
  nextQueueDeadline(): number {
    const times = this.all().map((request) => request.queueDeadline);
    return Math.min(Number.POSITIVE_INFINITY, ...times);
  }

  /** The request that should make room for one of a higher class: the last of the lowest class. */
  evictionCandidate(priority: Priority): PendingRequest | undefined {
    const rank = PRIORITIES.indexOf(priority);
    for (const lower of PRIORITIES.slice(rank + 1).reverse()) {
      const last = this.#queues[lower].at(-1);
      if (last !== undefined) {
        return last;
      }
    }
    return undefined;
  }
}

/** Index behind every request with the same or an earlier deadline. */
function insertionIndex(
  queue: readonly PendingRequest[],
  deadline: number,
): number {
  let low = 0;
  let high = queue.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((queue[middle]?.deadline ?? 0) <= deadline) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}

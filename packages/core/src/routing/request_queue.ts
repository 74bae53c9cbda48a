/**
 * Requests that wait for a slot, by priority and earliest deadline first (EDF) within a priority.
 *
 * @module
 */
import { PRIORITIES, type Priority } from "../names.ts";
import type { Completion, Submission } from "./router_types.ts";

/** A request that is queued or in flight. */
export interface PendingRequest extends Submission {
  submittedAt: number;
  /** Time at which the request is refused if it is still queued. */
  queueDeadline: number;
  /** Number of the current or next attempt, from 1. */
  attempt: number;
  /** Targets of earlier attempts. */
  tried: string[];
  /** Result of the last attempt that may have run; absent when none has. */
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

  /** Number of requests ahead of a new one with this priority and deadline. */
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

  /** All requests, highest priority first. */
  all(): PendingRequest[] {
    return PRIORITIES.flatMap((priority) => this.#queues[priority]);
  }

  /** Requests whose queue deadline has passed. */
  expired(now: number): PendingRequest[] {
    return this.all().filter((request) => request.queueDeadline <= now);
  }

  /** The earliest queue deadline; infinite when the queue is empty. */
  nextQueueDeadline(): number {
    const times = this.all().map((request) => request.queueDeadline);
    return Math.min(Number.POSITIVE_INFINITY, ...times);
  }

  /** The request to evict in favour of one of this priority: the last one of the lowest priority below it. */
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

/** Index after all requests with the same or an earlier deadline. */
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

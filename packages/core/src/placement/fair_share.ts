/**
 * Order in which teams place jobs: by their dominant share of quota.
 *
 * @module
 */
import type { JobQueue } from "./job_index.ts";

/** A queue and the position up to which it was read. */
export interface QueueCursor {
  queue: JobQueue;
  position: number;
}

/** Queues in order of their team's dominant share. */
export class FairShareOrder {
  readonly #teams = new Map<string, QueueCursor[]>();
  readonly #share: (team: string) => number;

  constructor(queues: Iterable<JobQueue>, share: (team: string) => number) {
    this.#share = share;
    for (const queue of queues) {
      const cursor = { queue, position: 0 };
      const known = this.#teams.get(queue.team);
      if (known === undefined) {
        this.#teams.set(queue.team, [cursor]);
      } else {
        known.push(cursor);
      }
    }
  }

  /** The next queue of the team with the smallest share. */
  next(): QueueCursor | undefined {
    let best: QueueCursor | undefined;
    let bestShare = Infinity;
    for (const [team, cursors] of this.#teams) {
      const share = this.#share(team);
      if (best === undefined || share < bestShare) {
        best = cursors[0];
        bestShare = share;
      }
    }
    return best;
  }

  /** Excludes the queue for the rest of the round. */
  exclude(cursor: QueueCursor): void {
    const { team } = cursor.queue;
    const cursors = this.#teams.get(team);
    cursors?.splice(cursors.indexOf(cursor), 1);
    if (cursors?.length === 0) {
      this.#teams.delete(team);
    }
  }
}

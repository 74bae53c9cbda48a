/**
 * A snapshot of a job store as lines of JSON, which is taken while commands are applied.
 *
 * To encode all jobs at once would keep the leader from its heartbeats. A job that changes before its turn is encoded
 * right before the change (copy on write).
 *
 * @module
 */
import type { JobRecord, StoredJob } from "../model/job_record.ts";

/** First line: everything but the jobs. Earlier versions stored one line with the jobs in it. */
export interface SnapshotHead {
  jobs?: StoredJob[];
}

/** Other lines: the place of a job among all, and the job. */
type JobLine = [number, StoredJob];

export class StoreSnapshot {
  readonly #head: string;
  /** Places of the jobs that are not encoded yet. */
  readonly #pending: Map<JobRecord, number>;
  /** Lines of the jobs that changed before their turn. */
  #changed: string[] = [];
  readonly #onEnd: () => void;

  /** `onEnd` is called when all lines were read, or no more will be. */
  constructor(
    head: unknown,
    jobs: Iterable<JobRecord>,
    onEnd: () => void,
  ) {
    this.#head = JSON.stringify(head);
    this.#pending = new Map();
    for (const job of jobs) {
      this.#pending.set(job, this.#pending.size);
    }
    this.#onEnd = onEnd;
  }

  /** Encodes a job that is about to change. */
  preserve(job: JobRecord): void {
    const place = this.#pending.get(job);
    if (place !== undefined) {
      this.#pending.delete(job);
      this.#changed.push(lineOf(job, place));
    }
  }

  /** The lines; to be read once. */
  *lines(): Generator<string> {
    try {
      yield this.#head;
      // Jobs that are preserved meanwhile leave the map.
      for (const [job, place] of this.#pending) {
        this.#pending.delete(job);
        yield lineOf(job, place);
        yield* this.#changed.splice(0);
      }
      yield* this.#changed.splice(0);
    } finally {
      this.#pending.clear();
      this.#changed = [];
      this.#onEnd();
    }
  }
}

function lineOf(job: JobRecord, place: number): string {
  return JSON.stringify([place, job]);
}

/** Decodes the lines of a snapshot: the head, and the jobs in their order. */
export function readSnapshotLines<H extends SnapshotHead>(
  lines: Iterable<string>,
): { head: H; jobs: StoredJob[] } | undefined {
  let head: H | undefined;
  const placed: JobLine[] = [];
  for (const line of lines) {
    if (head === undefined) {
      head = JSON.parse(line) as H;
    } else {
      placed.push(JSON.parse(line) as JobLine);
    }
  }
  placed.sort(([a], [b]) => a - b);
  const jobs = placed.map(([, job]) => job);
  return head && { head, jobs: [...head.jobs ?? [], ...jobs] };
}

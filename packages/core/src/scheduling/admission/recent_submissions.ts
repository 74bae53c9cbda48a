/**
 * Jobs of each customer that the leader accepted lately.
 *
 * A caller whose first call got no answer may repeat it at another entry, which knows nothing of it and must not answer
 * that the job was not run. So the leader names these jobs to entries that are to repeat a refusal.
 *
 * @module
 */
import { evictUntil } from "../../eviction.ts";
import { fnv1a } from "../../hash.ts";

/** Time within which callers repeat a call without an answer; twice their deadline of 3 s. */
export const REPEAT_HORIZON_MS = 6_000;

/** More marks than this would take an entry with 2 Mbit/s too long to read: some 10 kB twice a second. */
const MAX_MARKS = 1_000;

const MARK_RADIX = 36;

/** A short text for a job id. Two ids may share one; then the leader decides on a submission that an entry could refuse. */
export function markOf(jobId: string): string {
  return fnv1a(jobId).toString(MARK_RADIX);
}

interface RecentSubmission {
  at: number;
  mark: string;
}

export class RecentSubmissions {
  readonly #startedAt: number;
  readonly #byCustomer = new Map<string, RecentSubmission[]>();

  /** `now` is the beginning of the leadership term; what was accepted before is unknown. */
  constructor(now: number) {
    this.#startedAt = now;
  }

  record(customer: string, jobId: string, now: number): void {
    const recent = this.#recent(customer, now);
    recent.push({ at: now, mark: markOf(jobId) });
    this.#byCustomer.set(customer, recent);
  }

  /** Marks of all jobs that the customer's callers may repeat; undefined if not all are known, or too many. */
  marks(customer: string, now: number): string[] | undefined {
    const recent = this.#recent(customer, now);
    return now - this.#startedAt < REPEAT_HORIZON_MS ||
        recent.length > MAX_MARKS
      ? undefined
      : recent.map(({ mark }) => mark);
  }

  #recent(customer: string, now: number): RecentSubmission[] {
    const all = this.#byCustomer.get(customer) ?? [];
    evictUntil(all, ({ at }) => now - at < REPEAT_HORIZON_MS);
    return all;
  }
}

/**
 * Counts refusals, so that the log has one line for many of them.
 *
 * @module
 */

/** Shortest time between two lines about the same key. */
const LINE_INTERVAL_MS = 1_000;

/** Refusals of one key that a log line tells of. */
export interface CountedRefusals<T> {
  count: number;
  /** Details of the latest one. */
  latest: T;
}

interface Entry<T> extends CountedRefusals<T> {
  /** Time of the last line. */
  loggedAt: number;
}

/** Counts by key since the last line about it; at most one line per key and second. */
export class RefusalCounts<T> {
  readonly #entries = new Map<string, Entry<T>>();

  record(key: string, details: T): void {
    const entry = this.#entries.get(key);
    this.#entries.set(key, {
      count: (entry?.count ?? 0) + 1,
      latest: details,
      loggedAt: entry?.loggedAt ?? -Infinity,
    });
  }

  /** Counts that are due for a line. Keys without a refusal since their last line are forgotten. */
  takeDue(now: number): CountedRefusals<T>[] {
    const due: CountedRefusals<T>[] = [];
    for (const [key, { count, latest, loggedAt }] of this.#entries) {
      if (now - loggedAt < LINE_INTERVAL_MS) {
        continue;
      }
      if (count === 0) {
        this.#entries.delete(key);
        continue;
      }
      due.push({ count, latest });
      this.#entries.set(key, { count: 0, latest, loggedAt: now });
    }
    return due;
  }
}

/**
 * Leases that the leader granted to entries. The leader adds a drift margin to the duration, so a lease that has
 * expired at the leader has also expired at the entry (Gray and Cheriton, "Leases: an efficient fault-tolerant
 * mechanism for distributed file cache consistency", 1989).
 *
 * @module
 */

import type { RevisionInForceView } from "../admin_api.ts";
import type { Renewal } from "./renewal.ts";

/** Lease durations in milliseconds. */
export interface LeaseDurations {
  durationMs: number;
  /** Time that the leader adds to the duration, for clocks that run at different rates. */
  driftMarginMs: number;
}

/** The lease of one process of an entry, with the last report of that process. */
export interface LeaseRecord {
  entry: string;
  zone: string;
  incarnation: number;
  /** Revision of the entry's view. */
  revision: number;
  /** Time of the last grant, in milliseconds on the leader's monotonic clock. */
  grantedAt: number;
  /** Requests in progress on VMs that are not serving. */
  inFlight: Renewal["inFlight"];
  usage: Renewal["usage"];
  unhealthy: Renewal["unhealthy"];
  slots: Renewal["slots"];
  stopping: boolean;
}

/** Leases of all entry processes, at one leader. */
export class LeaseTable {
  readonly #durations: LeaseDurations;
  /** Time at which all leases granted by an earlier leader have expired. */
  readonly #gracePeriodEnd: number;
  /** Entries that have not renewed at this leader yet. */
  readonly #unrenewedEntries: Set<string>;
  readonly #records = new Map<string, LeaseRecord>();

  /** `entries` are those that may hold a lease of an earlier leader. */
  constructor(
    durations: LeaseDurations,
    entries: readonly string[],
    startedAt: number,
  ) {
    this.#durations = durations;
    this.#unrenewedEntries = new Set(entries);
    this.#gracePeriodEnd = startedAt + durations.durationMs +
      durations.driftMarginMs;
  }

  /** Records a granted or renewed lease. */
  grant(record: Omit<LeaseRecord, "grantedAt">, now: number): void {
    this.#unrenewedEntries.delete(record.entry);
    this.#records.set(keyOf(record), { ...record, grantedAt: now });
  }

  /** Removes the lease of a process that released it. */
  release(entry: string, incarnation: number): void {
    this.#records.delete(keyOf({ entry, incarnation }));
  }

  records(): LeaseRecord[] {
    return [...this.#records.values()];
  }

  /** Whether leases granted by an earlier leader may still be valid. */
  isInGracePeriod(now: number): boolean {
    return now < this.#gracePeriodEnd;
  }

  /** Whether the lease may still be valid at the entry. */
  isValid(record: LeaseRecord, now: number): boolean {
    return this.remainingMs(record, now) > 0;
  }

  /** Time until the lease has expired including the drift margin, in milliseconds; negative after that. */
  remainingMs(record: LeaseRecord, now: number): number {
    return record.grantedAt + this.#durations.durationMs +
      this.#durations.driftMarginMs - now;
  }

  /** Whether every process that may hold a lease has applied the revision; `waiting` lists entries that have not. */
  revisionInForceView(
    revision: number,
    now: number,
  ): Omit<RevisionInForceView, "revision"> {
    const outdated = this.records()
      .filter((record) =>
        this.isValid(record, now) && record.revision < revision
      )
      .map((record) => record.entry)
      .sort();
    return {
      inForce: outdated.length === 0 && !this.isInGracePeriod(now),
      waiting: outdated,
    };
  }

  /** The highest revision that every process with a lease has applied; -1 while earlier leases may be valid. */
  revisionInForce(latest: number, now: number): number {
    if (this.isInGracePeriod(now)) {
      return -1;
    }
    const valid = this.records().filter((record) => this.isValid(record, now));
    return valid.reduce(
      (lowest, record) => Math.min(lowest, record.revision),
      latest,
    );
  }

  /** Leases that have expired, including the drift margin. */
  expired(now: number): LeaseRecord[] {
    return this.records().filter((record) => !this.isValid(record, now));
  }

  /**
   * Whether no request can be in progress on a VM that left `serving` at the given revision. A process whose lease has
   * expired, or whose lease only an earlier leader knew, may still finish requests for `longestRequestMs`. A process
   * with a lower incarnation of the same entry has ended, because both would listen on the same addresses.
   */
  isIdle(
    vm: { name: string; revision: number },
    longestRequestMs: number,
    now: number,
  ): boolean {
    if (
      this.#unrenewedEntries.size > 0 &&
      now < this.#gracePeriodEnd + longestRequestMs
    ) {
      return false;
    }
    return this.records().every((record) => {
      if (this.isValid(record, now)) {
        return record.revision >= vm.revision &&
          (record.inFlight[vm.name] ?? 0) === 0;
      }
      const latestRequestEnd = record.grantedAt + this.#durations.durationMs +
        longestRequestMs;
      return this.#isSuperseded(record) || now >= latestRequestEnd;
    });
  }

  #isSuperseded(record: LeaseRecord): boolean {
    return this.records().some((other) => {
      return other.entry === record.entry &&
        other.incarnation > record.incarnation;
    });
  }

  /** Removes expired leases of processes whose last requests must have ended. */
  prune(longestRequestMs: number, now: number): void {
    for (const [key, record] of this.#records) {
      const { durationMs, driftMarginMs } = this.#durations;
      if (
        now >= record.grantedAt + durationMs + driftMarginMs + longestRequestMs
      ) {
        this.#records.delete(key);
      }
    }
  }
}

function keyOf(record: { entry: string; incarnation: number }): string {
  return `${record.entry}#${record.incarnation}`;
}

/**
 * The leases that the leader granted to entries. The leader waits longer than each entry does, so a lease that has
 * run out here has surely run out at the entry (Gray and Cheriton, 1989).
 *
 * @module
 */

import type { ForceView } from "../admin_api.ts";
import type { Renewal } from "./renewal.ts";

/** Durations in milliseconds. */
export interface LeaseDurations {
  durationMs: number;
  /** What the leader waits beyond the duration, for clocks that run at different speeds. */
  driftMarginMs: number;
}

/** The lease of one process of an entry. */
export interface LeaseRecord {
  entry: string;
  zone: string;
  incarnation: number;
  revision: number;
  grantedAt: number;
  /** Requests in progress on VMs that are not serving. */
  inFlight: Renewal["inFlight"];
  usage: Renewal["usage"];
  unhealthy: Renewal["unhealthy"];
  slots: Renewal["slots"];
  stopping: boolean;
}

export class LeaseTable {
  readonly #durations: LeaseDurations;
  /** Leases granted by an earlier leader have surely run out at this time. */
  readonly #gracePeriodEnd: number;
  /** Entries that have not renewed at this leader yet. */
  readonly #unrenewedEntries: Set<string>;
  readonly #records = new Map<string, LeaseRecord>();

  /** `entries` are all entries that may hold a lease of an earlier leader. */
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

  /** Records a grant. */
  grant(record: Omit<LeaseRecord, "grantedAt">, now: number): void {
    this.#unrenewedEntries.delete(record.entry);
    this.#records.set(keyOf(record), { ...record, grantedAt: now });
  }

  /** Forgets the lease of a process that gave it back. */
  giveBack(entry: string, incarnation: number): void {
    this.#records.delete(keyOf({ entry, incarnation }));
  }

  records(): LeaseRecord[] {
    return [...this.#records.values()];
  }

  /** Whether leases of an earlier leader may still be in use. */
  inherits(now: number): boolean {
    return now < this.#gracePeriodEnd;
  }

  isLive(record: LeaseRecord, now: number): boolean {
    return this.remainingMs(record, now) > 0;
  }

  /** Time left until the lease has surely run out, in milliseconds; negative after that. */
  remainingMs(record: LeaseRecord, now: number): number {
    return record.grantedAt + this.#durations.durationMs +
      this.#durations.driftMarginMs - now;
  }

  /** Whether each process that may hold a lease runs the revision or a later one. */
  force(revision: number, now: number): Omit<ForceView, "revision"> {
    const outdated = this.records()
      .filter((record) =>
        this.isLive(record, now) && record.revision < revision
      )
      .map((record) => record.entry)
      .sort();
    return {
      inForce: outdated.length === 0 && !this.inherits(now),
      waiting: outdated,
    };
  }

  /** The highest revision that is in force. */
  revisionInForce(latest: number, now: number): number {
    if (this.inherits(now)) {
      return -1;
    }
    const live = this.records().filter((record) => this.isLive(record, now));
    return live.reduce(
      (lowest, record) => Math.min(lowest, record.revision),
      latest,
    );
  }

  /** Processes whose lease has surely run out. */
  expired(now: number): LeaseRecord[] {
    return this.records().filter((record) => !this.isLive(record, now));
  }

  /**
   * Whether no request can be in progress on a VM that left `serving` at the given revision. A process whose lease ran
   * out may still finish requests, each at most `longestRequestMs` old; so may one that only an earlier leader knew. A
   * process whose entry was started again has ended, since both would need the same addresses.
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
      if (this.isLive(record, now)) {
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

  /** Forgets processes whose last request has surely ended. */
  forget(longestRequestMs: number, now: number): void {
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

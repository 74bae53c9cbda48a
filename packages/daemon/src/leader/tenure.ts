/**
 * The soft state of one leader during one term: leases of entries and the table of targets.
 *
 * @module
 */
import {
  type Grant,
  LeaseTable,
  type LeaseTerms,
  type Renewal,
  type State,
  TargetTable,
  viewSince,
} from "@quetzalcove/core";

export class Tenure {
  readonly term: number;
  readonly leases: LeaseTable;
  readonly targets = new TargetTable();
  readonly #terms: LeaseTerms;
  readonly #entry: string;

  constructor(entry: string, term: number, terms: LeaseTerms, now: number) {
    this.term = term;
    this.#entry = entry;
    this.#terms = terms;
    this.leases = new LeaseTable(terms, now);
  }

  /** Takes in an entry's report and grants its lease. */
  renew(renewal: Renewal, state: State, now: number): Grant {
    const announcedVersion = this.targets.report(
      renewal.entry,
      renewal.incarnation,
      renewal.announced,
    );
    this.leases.grant(
      {
        entry: renewal.entry,
        zone: renewal.zone,
        incarnation: renewal.incarnation,
        revision: renewal.revision,
        inFlight: renewal.inFlight,
        usage: renewal.usage,
        unhealthy: renewal.unhealthy,
        stopping: renewal.stopping,
      },
      now,
    );
    const known = renewal.tableTerm === this.term ? renewal.tableVersion : 0;
    return {
      term: this.term,
      leader: this.#entry,
      leaseMs: this.#terms.durationMs,
      view: viewSince(state, renewal.revision),
      targets: this.targets.since(known),
      targetsComplete: !this.leases.inherits(now),
      announcedVersion,
    };
  }

  /** Drops the targets of entries whose lease has run out and forgets processes that surely ended. */
  expire(longestRequestMs: number, now: number): void {
    for (const record of this.leases.expired(now)) {
      this.targets.drop(record.entry, record.incarnation);
    }
    this.leases.forget(longestRequestMs, now);
  }
}

/**
 * The volatile state of the leader during one term: leases of entries, the table of targets and the allocated slots.
 *
 * @module
 */
import {
  type Grant,
  LeaseTable,
  type Renewal,
  routesOf,
  type Settings,
  SlotAllocator,
  type State,
  TargetTable,
  viewSince,
} from "@quetzalcove/core";

export class LeaderTermState {
  readonly term: number;
  readonly leases: LeaseTable;
  readonly targets = new TargetTable();
  readonly slots: SlotAllocator;
  readonly #settings: Settings;
  #routedRevision = -1;
  #routedTableVersion = -1;

  constructor(settings: Settings, term: number, now: number) {
    const { durationMs, driftMarginMs } = settings.lease;
    this.term = term;
    this.#settings = settings;
    this.leases = new LeaseTable(settings.lease, entryNames(settings), now);
    this.slots = new SlotAllocator({
      epoch: term,
      leaseMs: durationMs,
      marginMs: driftMarginMs,
      entries: entryNames(settings),
    }, now);
  }

  /** Records an entry's report and renews its lease. */
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
        slots: renewal.slots,
        stopping: renewal.stopping,
      },
      now,
    );
    this.#updateRoutes(state, now);
    const knownVersion = renewal.tableTerm === this.term
      ? renewal.tableVersion
      : 0;
    return {
      term: this.term,
      leader: this.#settings.entry,
      leaseMs: this.#settings.lease.durationMs,
      view: viewSince(state, renewal.revision),
      targets: this.targets.since(knownVersion),
      targetsComplete: !this.leases.isInGracePeriod(now),
      announcedVersion,
      slots: this.slots.report(renewal.slots, now),
    };
  }

  /** Removes the lease, targets and slots of an entry process that stops. */
  release(entry: string, incarnation: number): void {
    this.targets.removeReport(entry, incarnation);
    this.leases.release(entry, incarnation);
    this.slots.release(entry, incarnation);
  }

  /** Requests that ended, by outcome, summed over the known entry processes since their start. */
  requestsByOutcome(): Record<"finished" | "refused" | "failed", number> {
    const sum = { finished: 0, refused: 0, failed: 0 };
    for (
      const use of this.leases.records().flatMap((record) =>
        Object.values(record.usage)
      )
    ) {
      sum.finished += use.finished;
      sum.refused += use.refused;
      sum.failed += use.failed;
    }
    return sum;
  }

  #updateRoutes(state: State, now: number): void {
    if (
      this.#routedRevision === state.revision &&
      this.#routedTableVersion === this.targets.version
    ) {
      return;
    }
    this.#routedRevision = state.revision;
    this.#routedTableVersion = this.targets.version;
    const services = new Map(
      state.rules.services.map((service) => [service.name, service]),
    );
    const routes = routesOf(this.targets.targets(), {
      service: (name) => services.get(name),
      vm: (name) => state.vms[name],
    });
    this.slots.setTargets(routes, now);
  }

  /** Removes the targets of entries whose lease has expired, and leases of processes whose requests must have ended. */
  removeExpired(longestRequestMs: number, now: number): void {
    for (const record of this.leases.expired(now)) {
      this.targets.removeReport(record.entry, record.incarnation);
    }
    this.leases.prune(longestRequestMs, now);
  }
}

function entryNames(settings: Settings): string[] {
  const peers = settings.peers.map((peer) => peer.entry);
  return peers.length === 0 ? [settings.entry] : peers;
}

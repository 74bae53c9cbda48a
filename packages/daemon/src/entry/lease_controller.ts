/**
 * Renews an entry's lease, and keeps its view and target table up to date.
 *
 * @module
 */
import {
  type Allowance,
  type Announcement,
  EntryLease,
  type Fault,
  Grant,
  parse,
  type Renewal,
  type Result,
  type Settings,
  TargetRegistry,
  TargetTableCopy,
  View,
} from "@quetzalcove/core";
import type { Clock } from "../clock.ts";
import { type Component, ticker } from "../lifecycle.ts";
import type { Log } from "../observe/log.ts";
import type { LeaderClient } from "./leader_client.ts";

/** The part of a renewal that reports on the requests at this entry. */
export type RenewalReport = Pick<
  Renewal,
  "inFlight" | "usage" | "unhealthy" | "slots"
>;

/** Dependencies of the lease controller. */
export interface LeaseControllerParts {
  settings: Settings;
  leader: LeaderClient;
  clock: Clock;
  log: Log;
  /** Wall-clock time in milliseconds at which this process started. */
  incarnation: number;
  /** Collects the report for a renewal. */
  report: (view: View, term: number) => RenewalReport;
  /** Called after the view or the target table changed. */
  onChange: () => void;
  /** Called with the slots of a grant. */
  onAllowance: (allowance: Allowance) => void;
}

/** Timeout of a renewal, as a share of the lease duration. */
const RENEWAL_TIMEOUT_SHARE = 0.4;

export class LeaseController implements Component {
  readonly name = "membership";
  readonly lease = new EntryLease();
  readonly view = new View();
  readonly registry: TargetRegistry;
  readonly #parts: LeaseControllerParts;
  readonly #ticker: Component;
  #targetTable = new TargetTableCopy();
  #incarnation: number;
  #acknowledgedVersion = 0;
  #renewal: Promise<void> | undefined;
  #renewAgain = false;
  #failsHealthCheck = false;
  #stopping = false;

  constructor(parts: LeaseControllerParts) {
    this.#parts = parts;
    this.registry = new TargetRegistry(parts.settings.targets);
    this.#incarnation = parts.incarnation;
    this.#ticker = ticker(
      "renewals",
      parts.settings.lease.renewEveryMs,
      () => this.renew(),
    );
  }

  get incarnation(): number {
    return this.#incarnation;
  }

  /** Whether this entry may accept new requests now. */
  mayServe(): boolean {
    return !this.#stopping && this.hasLease();
  }

  /** Whether the lease is valid now. */
  hasLease(): boolean {
    return this.lease.isValid(this.#parts.clock.monotonic());
  }

  async start(): Promise<void> {
    await this.#ticker.start();
    void this.renew();
  }

  /** Returns the lease, so that the leader need not wait for it to expire. */
  async stop(): Promise<void> {
    await this.#ticker.stop();
    this.lease.end();
    const params = {
      entry: this.#parts.settings.entry,
      incarnation: this.#incarnation,
    };
    await this.#parts.leader.call("give_back", params, this.#timeoutMs());
  }

  /** Whether the load balancer may send callers here. */
  isHealthy(): boolean {
    return !this.#failsHealthCheck && this.mayServe();
  }

  /** Fails the health check from now on, so that the load balancer sends callers elsewhere. */
  failHealthCheck(): void {
    this.#failsHealthCheck = true;
  }

  /** Stops accepting new requests, and reports that to the leader. */
  stopAccepting(): void {
    this.#stopping = true;
    void this.renew();
  }

  /** Renews now, or once more after the renewal in progress. */
  renew(): Promise<void> {
    if (this.#renewal !== undefined) {
      this.#renewAgain = true;
      return this.#renewal;
    }
    this.#renewal = this.#renewWhileRequested().finally(() => {
      this.#renewal = undefined;
    });
    return this.#renewal;
  }

  /** Targets of the leader's table; a target that announced to this entry that it is leaving is listed as leaving. */
  targets(): Announcement[] {
    return this.#targetTable.targets().map((known) => {
      const own = this.registry.get(known.target);
      return own?.condition === "leaving" ? own : known;
    });
  }

  /** Whether the leader has acknowledged this entry's announcements up to a version of the registry. */
  hasReported(version: number): boolean {
    return this.#acknowledgedVersion >= version;
  }

  async #renewWhileRequested(): Promise<void> {
    do {
      this.#renewAgain = false;
      await this.#renewOnce();
    } while (this.#renewAgain);
  }

  async #renewOnce(): Promise<void> {
    const { clock, leader } = this.#parts;
    const sentAt = clock.monotonic();
    this.registry.expire(sentAt);
    const answer = await leader.call(
      "renew",
      this.#renewalMessage(),
      this.#timeoutMs(),
    );
    const grant = answer.andThen((value) => parse(Grant, value, "grant"));
    if (grant.err) {
      this.#onRefused(grant);
    } else {
      this.#onGranted(grant.val, sentAt);
    }
  }

  #renewalMessage(): Renewal {
    const { settings, report } = this.#parts;
    return {
      entry: settings.entry,
      zone: settings.zone,
      incarnation: this.#incarnation,
      revision: this.view.revision,
      tableTerm: this.#targetTable.term,
      tableVersion: this.#targetTable.version,
      announced: this.registry.since(this.#acknowledgedVersion),
      stopping: this.#stopping,
      ...report(this.view, this.#targetTable.term),
    };
  }

  #onGranted(grant: Grant, sentAt: number): void {
    const before = this.view.revision;
    const tableBefore = this.#targetTable.version;
    this.#acknowledgedVersion = grant.announcedVersion;
    const viewApplied = this.view.apply(grant.view);
    const tableApplied = this.#targetTable.apply(
      grant.term,
      grant.targets,
      grant.targetsComplete,
    );
    if (!viewApplied || !tableApplied) {
      this.#parts.log.warn("renewal.outdated", {
        revision: grant.view.to,
        term: grant.term,
      });
      return;
    }
    this.lease.extend(sentAt, grant.leaseMs);
    this.#applySlots(grant, sentAt);
    if (this.registry.version > grant.announcedVersion) {
      this.#renewAgain = true;
    }
    // The leader treats a view as in force only after entries have reported its revision.
    if (this.view.revision !== before) {
      this.#renewAgain = true;
    }
    if (
      this.view.revision !== before || this.#targetTable.version !== tableBefore
    ) {
      this.#parts.onChange();
    }
  }

  #applySlots(grant: Grant, sentAt: number): void {
    if (grant.slots === undefined) {
      this.#renewAgain = true;
      return;
    }
    this.#parts.onAllowance({ ...grant.slots, until: sentAt + grant.leaseMs });
  }

  #onRefused(answer: Result<unknown, Fault>): void {
    if (answer.ok) {
      return;
    }
    const refusal = answer.val as Fault;
    this.#parts.log.warn("renewal.refused", {
      kind: refusal.kind,
      reason: refusal.message,
    });
    if (refusal.kind === "fenced") {
      this.#incarnation = Math.max(this.#incarnation, refusal.version ?? 0) + 1;
      this.#acknowledgedVersion = 0;
      this.#renewAgain = true;
    }
  }

  #timeoutMs(): number {
    return this.#parts.settings.lease.durationMs * RENEWAL_TIMEOUT_SHARE;
  }
}

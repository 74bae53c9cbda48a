/**
 * Slots that the leader granted to this entry, valid until the entry's lease expires (Gray and Cheriton, "Leases: an
 * efficient fault-tolerant mechanism for distributed file cache consistency", 1989).
 *
 * @module
 */
import type { SlotGrant } from "./slot_report.ts";

/** A grant and the expiry of its lease on this entry's monotonic clock. */
export interface Allowance extends SlotGrant {
  /** Time at which the renewal was sent plus the duration of the lease, in milliseconds. */
  until: number;
}

/** Position of a grant in the order of all grants; the epoch is the leader's term. */
export interface GrantPosition {
  epoch: number;
  sequence: number;
}

const NO_GRANT: GrantPosition = { epoch: 0, sequence: 0 };

/** Slots that this entry may use at each target. */
export class Allowances {
  #slots = new Map<string, number>();
  #applied = NO_GRANT;
  #epoch = 0;
  #until = Number.NEGATIVE_INFINITY;

  /** Position of the last applied grant. */
  get applied(): GrantPosition {
    return { ...this.#applied };
  }

  /** Expiry of the lease. */
  get until(): number {
    return this.#until;
  }

  /** Whether the lease is valid, so that slots may be used. */
  isValid(now: number): boolean {
    return now < this.#until;
  }

  /** Slots allowed at a target. */
  slotsAt(target: string): number {
    return this.#slots.get(target) ?? 0;
  }

  /** Applies a grant. Returns false when its lease has expired, it is out of order or from an earlier epoch. */
  apply(allowance: Allowance, now: number): boolean {
    if (allowance.until <= now || allowance.epoch < this.#epoch) {
      return false;
    }
    if (!this.#isNext(allowance)) {
      return false;
    }
    if (allowance.base === 0) {
      this.#slots.clear();
    }
    for (const [target, slots] of Object.entries(allowance.slots)) {
      this.#slots.set(target, slots);
    }
    this.#epoch = allowance.epoch;
    this.#applied = { epoch: allowance.epoch, sequence: allowance.sequence };
    this.#until = Math.max(this.#until, allowance.until);
    return true;
  }

  /** Prepares a report to the leader of an epoch. Slots of an expired lease are dropped. */
  prepareReport(epoch: number, now: number): void {
    this.#epoch = Math.max(this.#epoch, epoch);
    if (!this.isValid(now)) {
      this.#slots.clear();
      this.#applied = NO_GRANT;
    }
  }

  /**
   * Slots held at each target: the maximum of those allowed and those in use. A leader of another epoch than that of
   * the applied grant gets every target; otherwise only targets with more slots in use than allowed are listed.
   */
  held(inFlight: ReadonlyMap<string, number>): Record<string, number> {
    const isFullReport = this.#applied.epoch !== this.#epoch;
    const held: Record<string, number> = {};
    const targets = new Set([...this.#slots.keys(), ...inFlight.keys()]);
    for (const target of targets) {
      const allowed = this.slotsAt(target);
      const used = inFlight.get(target) ?? 0;
      const count = Math.max(allowed, used);
      if (count > 0 && (isFullReport || used > allowed)) {
        held[target] = count;
      }
    }
    return held;
  }

  #isNext(grant: SlotGrant): boolean {
    const { epoch, sequence } = this.#applied;
    const sameEpoch = grant.epoch === epoch;
    if (sameEpoch && grant.sequence < sequence) {
      return false;
    }
    return grant.base === 0 || (sameEpoch && grant.base === sequence);
  }
}

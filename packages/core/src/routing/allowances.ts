/**
 * The slots that the leader granted to this entry, valid until the entry's lease ends. Leases as in Gray and
 * Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache consistency" (1989).
 *
 * @module
 */
import type { SlotGrant } from "./slot_report.ts";

/** A grant together with the end of the lease that it came with, on this entry's clock. */
export interface Allowance extends SlotGrant {
  /** Time at which the renewal was sent, plus the length of the lease. */
  until: number;
}

/** Position of a grant in the order of all grants. */
export interface GrantPosition {
  epoch: number;
  sequence: number;
}

const NO_GRANT: GrantPosition = { epoch: 0, sequence: 0 };

/** The slots allowed to this entry at each target. */
export class Allowances {
  #slots = new Map<string, number>();
  #applied = NO_GRANT;
  #epoch = 0;
  #until = Number.NEGATIVE_INFINITY;

  /** Position of the grant in force. */
  get applied(): GrantPosition {
    return { ...this.#applied };
  }

  /** End of the lease. */
  get until(): number {
    return this.#until;
  }

  /** Whether slots may be used. */
  isValid(now: number): boolean {
    return now < this.#until;
  }

  /** Slots allowed at a target. */
  slotsAt(target: string): number {
    return this.#slots.get(target) ?? 0;
  }

  /** Applies a grant; returns false when it is late, out of order or of an earlier epoch. */
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

  /** Prepares a report to the leader of an epoch. A lease that has ended takes its slots with it. */
  prepareReport(epoch: number, now: number): void {
    this.#epoch = Math.max(this.#epoch, epoch);
    if (!this.isValid(now)) {
      this.#slots.clear();
      this.#applied = NO_GRANT;
    }
  }

  /**
   * Slots held, which are those allowed or in use, whichever is more: at every target for a leader that did not
   * grant them, else only where more are in use than allowed.
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

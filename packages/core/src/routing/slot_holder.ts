/**
 * The leader's record of the slots of one entry process: those it is known to hold, and those it may hold if it applies
 * a grant that it has not confirmed yet.
 *
 * @module
 */
import type { SlotGrant, SlotNeed, SlotReport } from "./slot_report.ts";

/** Maximum number of unconfirmed grants of one entry; beyond it, the newest one is sent again. */
const MAX_UNCONFIRMED_GRANTS = 8;

/** A grant that the entry has not reported as applied yet. */
interface UnconfirmedGrant {
  sequence: number;
  /** Slots allowed per target once the grant is applied. */
  allowed: Map<string, number>;
}

/** Slots of one entry process. */
export class SlotHolder {
  readonly entry: string;
  readonly incarnation: number;
  needs: Readonly<Record<string, SlotNeed>> = {};
  /** Time of the last report, in milliseconds. */
  renewedAt = 0;
  #reportNumber = 0;
  #applied: UnconfirmedGrant = { sequence: 0, allowed: new Map() };
  #unconfirmed: UnconfirmedGrant[] = [];
  #inUse = new Map<string, number>();
  #held = new Map<string, number>();

  constructor(entry: string, incarnation: number) {
    this.entry = entry;
    this.incarnation = incarnation;
  }

  get key(): string {
    return `${this.entry}#${this.incarnation}`;
  }

  /** Whether this report or a later one was applied before. */
  isStale(report: SlotReport): boolean {
    return report.number <= this.#reportNumber;
  }

  /** Applies a report. */
  applyReport(report: SlotReport, now: number): void {
    this.#reportNumber = report.number;
    this.needs = report.needs;
    this.renewedAt = now;
    this.#inUse = new Map(Object.entries(report.held));
    const { epoch, sequence } = report.applied;
    const applied = epoch === report.epoch ? sequence : 0;
    this.#applied =
      this.#unconfirmed.find((grant) => grant.sequence === applied) ??
        (applied === this.#applied.sequence
          ? this.#applied
          : { sequence: 0, allowed: new Map() });
    this.#unconfirmed = this.#unconfirmed.filter((grant) =>
      grant.sequence > applied
    );
    this.#recountHeld();
  }

  /** Upper bound of the slots that the entry may use at each target, whichever unconfirmed grant it applies. */
  get held(): ReadonlyMap<string, number> {
    return this.#held;
  }

  /** Slots that the entry holds at a target according to its last report. */
  confirmedSlots(target: string): number {
    const allowed = this.#applied.allowed.get(target) ?? 0;
    return Math.max(allowed, this.#inUse.get(target) ?? 0);
  }

  /** Makes the grant that changes the last applied slots to the wanted ones. */
  grant(
    wanted: Map<string, number>,
    { epoch, sequence }: { epoch: number; sequence: number },
  ): SlotGrant {
    const newest = this.#unconfirmed.at(-1);
    if (
      newest !== undefined && this.#unconfirmed.length >= MAX_UNCONFIRMED_GRANTS
    ) {
      return this.#resend(newest, epoch);
    }
    const base = this.#applied.sequence;
    const slots = slotChanges(this.#applied.allowed, wanted);
    if (base > 0 && Object.keys(slots).length === 0) {
      return { epoch, sequence: base, base, slots };
    }
    this.#unconfirmed.push({ sequence, allowed: wanted });
    this.#recountHeld();
    return { epoch, sequence, base, slots };
  }

  #recountHeld(): void {
    this.#held = new Map(this.#applied.allowed);
    const others = [
      this.#inUse,
      ...this.#unconfirmed.map(({ allowed }) => allowed),
    ];
    for (const slots of others) {
      for (const [target, count] of slots) {
        const known = this.#held.get(target) ?? 0;
        this.#held.set(target, Math.max(known, count));
      }
    }
  }

  #resend({ sequence, allowed }: UnconfirmedGrant, epoch: number): SlotGrant {
    const base = this.#applied.sequence;
    const slots = slotChanges(this.#applied.allowed, allowed);
    return { epoch, sequence, base, slots };
  }

  /** Longest recent run of a service, in milliseconds. */
  longestRunMs(service: string): number {
    return this.needs[service]?.longestRunMs ?? 0;
  }

  /** Frees the slots at targets where all runs of this lost entry must have ended. */
  reclaim(targets: readonly string[]): void {
    const all = [
      this.#inUse,
      ...this.#unconfirmed.map(({ allowed }) => allowed),
    ];
    for (const slots of [...all, this.#applied.allowed]) {
      targets.forEach((target) => slots.delete(target));
    }
    this.#recountHeld();
  }
}

function slotChanges(
  from: ReadonlyMap<string, number>,
  to: ReadonlyMap<string, number>,
): Record<string, number> {
  const slots: Record<string, number> = {};
  for (const target of new Set([...from.keys(), ...to.keys()])) {
    const next = to.get(target) ?? 0;
    if ((from.get(target) ?? 0) !== next) {
      slots[target] = next;
    }
  }
  return slots;
}

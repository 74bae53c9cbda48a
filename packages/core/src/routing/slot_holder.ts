/**
 * What the leader knows about the slots of one entry process: those it surely may use, and those it may still use
 * because an answer is on its way.
 *
 * @module
 */
import type { SlotGrant, SlotNeed, SlotReport } from "./slot_report.ts";

/** Most grants on their way to one entry; after that the newest is repeated. */
const MAX_SENT = 8;

/** A grant that was sent and not yet reported as applied. */
interface SentGrant {
  sequence: number;
  /** The slots allowed once it is applied. */
  allowed: ReadonlyMap<string, number>;
}

/** The slots of one entry process. */
export class SlotHolder {
  readonly entry: string;
  readonly incarnation: number;
  needs: Readonly<Record<string, SlotNeed>> = {};
  renewedAt = 0;
  #number = 0;
  #applied: SentGrant = { sequence: 0, allowed: new Map() };
  #sent: SentGrant[] = [];
  #inUse = new Map<string, number>();

  constructor(entry: string, incarnation: number) {
    this.entry = entry;
    this.incarnation = incarnation;
  }

  get key(): string {
    return `${this.entry}#${this.incarnation}`;
  }

  /** Takes a report in; returns false for one that arrived out of order. */
  take(report: SlotReport, now: number): boolean {
    if (report.number <= this.#number) {
      return false;
    }
    this.#number = report.number;
    this.needs = report.needs;
    this.renewedAt = now;
    this.#inUse = new Map(Object.entries(report.held));
    const { epoch, sequence } = report.applied;
    const applied = epoch === report.epoch ? sequence : 0;
    this.#applied = this.#sent.find((grant) => grant.sequence === applied) ??
      (applied === this.#applied.sequence
        ? this.#applied
        : { sequence: 0, allowed: new Map() });
    this.#sent = this.#sent.filter((grant) => grant.sequence > applied);
    return true;
  }

  /** Slots that the entry may use at a target, whichever of the grants on their way it applies. */
  held(target: string): number {
    let slots = this.confirmed(target);
    for (const { allowed } of this.#sent) {
      slots = Math.max(slots, allowed.get(target) ?? 0);
    }
    return slots;
  }

  /** Slots that the entry holds by its last report. */
  confirmed(target: string): number {
    const allowed = this.#applied.allowed.get(target) ?? 0;
    return Math.max(allowed, this.#inUse.get(target) ?? 0);
  }

  /** Targets at which the entry may use slots. */
  targets(): Set<string> {
    const targets = new Set([
      ...this.#applied.allowed.keys(),
      ...this.#inUse.keys(),
    ]);
    for (const { allowed } of this.#sent) {
      for (const target of allowed.keys()) {
        targets.add(target);
      }
    }
    return targets;
  }

  /** Makes the grant that turns the applied slots into the wanted ones. */
  grant(
    wanted: ReadonlyMap<string, number>,
    { epoch, sequence }: { epoch: number; sequence: number },
  ): SlotGrant {
    const newest = this.#sent.at(-1);
    if (newest !== undefined && this.#sent.length >= MAX_SENT) {
      return this.#repeat(newest, epoch);
    }
    const base = this.#applied.sequence;
    const slots = changes(this.#applied.allowed, wanted);
    if (base > 0 && Object.keys(slots).length === 0) {
      return { epoch, sequence: base, base, slots };
    }
    this.#sent.push({ sequence, allowed: wanted });
    return { epoch, sequence, base, slots };
  }

  #repeat({ sequence, allowed }: SentGrant, epoch: number): SlotGrant {
    const base = this.#applied.sequence;
    const slots = changes(this.#applied.allowed, allowed);
    return { epoch, sequence, base, slots };
  }

  /** The longest run seen lately, in milliseconds. */
  get longestRunMs(): number {
    const runs = Object.values(this.needs).map((need) => need.longestRunMs);
    return Math.max(0, ...runs);
  }
}

function changes(
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

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
  allowed: Map<string, number>;
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
  #held = new Map<string, number>();

  constructor(entry: string, incarnation: number) {
    this.entry = entry;
    this.incarnation = incarnation;
  }

  get key(): string {
    return `${this.entry}#${this.incarnation}`;
  }

  /** Whether a later report was taken in before. */
  isOld(report: SlotReport): boolean {
    return report.number <= this.#number;
  }

  /** Takes a report in. */
  take(report: SlotReport, now: number): void {
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
    this.#count();
  }

  /** Slots that the entry may use at each target, whichever of the grants on their way it applies. */
  get held(): ReadonlyMap<string, number> {
    return this.#held;
  }

  /** Slots that the entry holds by its last report. */
  confirmed(target: string): number {
    const allowed = this.#applied.allowed.get(target) ?? 0;
    return Math.max(allowed, this.#inUse.get(target) ?? 0);
  }

  /** Makes the grant that turns the applied slots into the wanted ones. */
  grant(
    wanted: Map<string, number>,
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
    this.#count();
    return { epoch, sequence, base, slots };
  }

  #count(): void {
    this.#held = new Map(this.#applied.allowed);
    const others = [this.#inUse, ...this.#sent.map(({ allowed }) => allowed)];
    for (const slots of others) {
      for (const [target, count] of slots) {
        const known = this.#held.get(target) ?? 0;
        this.#held.set(target, Math.max(known, count));
      }
    }
  }

  #repeat({ sequence, allowed }: SentGrant, epoch: number): SlotGrant {
    const base = this.#applied.sequence;
    const slots = changes(this.#applied.allowed, allowed);
    return { epoch, sequence, base, slots };
  }

  /** The longest run of a service seen lately, in milliseconds. */
  longestRunMs(service: string): number {
    return this.needs[service]?.longestRunMs ?? 0;
  }

  /** Takes the slots of targets back whose runs of this lost entry have surely ended. */
  takeBack(targets: readonly string[]): void {
    const all = [this.#inUse, ...this.#sent.map(({ allowed }) => allowed)];
    for (const slots of [...all, this.#applied.allowed]) {
      targets.forEach((target) => slots.delete(target));
    }
    this.#count();
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

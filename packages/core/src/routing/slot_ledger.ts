/**
 * The leader's account of who may use which slots. A slot is granted again only after its holder reported it
 * returned, or after the holder's lease has surely ended and its runs had time to end.
 *
 * @module
 */
import { SlotHolder } from "./slot_holder.ts";
import {
  divideSlots,
  type EntryNeed,
  type SlotMatrix,
  slotsAt,
  type TargetSlots,
} from "./slot_plan.ts";
import type { SlotGrant, SlotReport } from "./slot_report.ts";
import type { Route } from "./submission.ts";
import { TargetRamp } from "./target_ramp.ts";

/** How often the division of slots is computed again. */
const PLAN_INTERVAL_MS = 500;

const DRAIN_RUNS = 2;
const MIN_DRAIN_MS = 1_000;
const MAX_DRAIN_MS = 60_000;

/** What a ledger is built with. */
export interface SlotLedgerSetup {
  /** Epoch of this leader, higher than that of every leader before. */
  epoch: number;
  /** Length of an entry's lease. */
  leaseMs: number;
  /** How much longer than the lease the leader waits, for clock drift. */
  marginMs: number;
  /** Entries that may hold slots granted by an earlier leader. */
  entries: readonly string[];
  /** How many times the longest run a lost entry's runs are given to end; 0 for no time at all. */
  drainRuns?: number;
}

/** Slots of one target, for the status page. */
export interface SlotAllocation {
  target: string;
  slots: number;
  usable: number;
  holders: { entry: string; incarnation: number; slots: number }[];
}

interface PlanInput {
  needs: EntryNeed[];
  targets: TargetSlots[];
}

/** The account of every slot. */
export class SlotLedger {
  readonly #setup: SlotLedgerSetup;
  readonly #holders = new Map<string, SlotHolder>();
  readonly #plans = new Map<string, SlotMatrix>();
  /** Slots of each target that any holder may use. */
  readonly #totals = new Map<string, number>();
  readonly #services = new Map<string, string>();
  readonly #ramp = new TargetRamp();
  readonly #unreportedEntries: Set<string>;
  #routes: readonly Route[] = [];
  readonly #startedAt: number;
  /** What the plan of each service was made from; the same input needs no new plan. */
  readonly #planInputs = new Map<string, PlanInput>();
  #plannedAt = Number.NEGATIVE_INFINITY;
  #sequence = 0;

  constructor(setup: SlotLedgerSetup, now: number) {
    this.#setup = setup;
    this.#unreportedEntries = new Set(setup.entries);
    this.#startedAt = now;
  }

  /** Takes over the table of live targets. A target that was not in it before gets its slots step by step. */
  setTargets(routes: readonly Route[], now: number): void {
    this.#ramp.update(routes, { now, settled: !this.isInGracePeriod(now) });
    for (const target of this.#services.keys()) {
      if (!this.#totals.has(target)) {
        this.#services.delete(target);
      }
    }
    for (const { target, service } of routes) {
      this.#services.set(target, service);
    }
    this.#routes = routes;
    this.#plannedAt = Number.NEGATIVE_INFINITY;
  }

  /** Takes an entry's report in and grants it slots. */
  report(report: SlotReport, now: number): SlotGrant | undefined {
    this.#reclaim(now);
    const key = `${report.entry}#${report.incarnation}`;
    const known = this.#holders.get(key);
    const holder = known ?? new SlotHolder(report.entry, report.incarnation);
    if (report.epoch !== this.#setup.epoch || holder.isStale(report)) {
      return undefined;
    }
    if (report.ageMs >= this.#gracePeriodMs()) {
      this.#unreportedEntries.delete(report.entry);
    }
    if (known === undefined) {
      this.#holders.set(key, holder);
      this.#plannedAt = Number.NEGATIVE_INFINITY;
    }
    this.#addToTotals(holder, -1);
    holder.applyReport(report, now);
    const grant = this.#grant(holder, now);
    this.#addToTotals(holder, 1);
    return grant;
  }

  /** Frees the slots of an entry process that ended its work and uses none any more. */
  release(entry: string, incarnation: number): void {
    this.#unreportedEntries.delete(entry);
    const holder = this.#holders.get(`${entry}#${incarnation}`);
    if (holder !== undefined) {
      this.#remove(holder);
    }
  }

  /** The account of every target, for the status page. */
  describe(now: number): SlotAllocation[] {
    return this.#routes.map((route) => ({
      target: route.target,
      slots: route.slots,
      usable: this.#ramp.usable(route, now),
      holders: [...this.#holders.values()].flatMap((holder) => {
        const slots = holder.held.get(route.target) ?? 0;
        const { entry, incarnation } = holder;
        return slots === 0 ? [] : [{ entry, incarnation, slots }];
      }),
    }));
  }

  /** Whether slots of an earlier leader may still be in use unreported. */
  isInGracePeriod(now: number): boolean {
    return this.#unreportedEntries.size > 0 &&
      now < this.#startedAt + this.#gracePeriodMs();
  }

  /** Time after which nothing that an earlier leader or process allowed is at work any more. */
  #gracePeriodMs(): number {
    const { leaseMs, marginMs } = this.#setup;
    let drainMs = MIN_DRAIN_MS;
    for (const holder of this.#holders.values()) {
      for (const service of Object.keys(holder.needs)) {
        drainMs = Math.max(drainMs, this.#drainMs(holder, service));
      }
    }
    return leaseMs + marginMs + drainMs;
  }

  /** Time that the runs of a lost entry at a service are given to end. */
  #drainMs(holder: SlotHolder, service: string): number {
    const { drainRuns = DRAIN_RUNS } = this.#setup;
    if (drainRuns === 0) {
      return 0;
    }
    const wantedMs = drainRuns * holder.longestRunMs(service);
    return Math.min(MAX_DRAIN_MS, Math.max(MIN_DRAIN_MS, wantedMs));
  }

  /** Grants a holder, whose slots are not in the totals now, its part. */
  #grant(holder: SlotHolder, now: number): SlotGrant {
    this.#plan(now);
    this.#sequence += 1;
    return holder.grant(this.#wanted(holder, now), {
      epoch: this.#setup.epoch,
      sequence: this.#sequence,
    });
  }

  #wanted(holder: SlotHolder, now: number): Map<string, number> {
    const wanted = new Map<string, number>();
    const inGracePeriod = this.isInGracePeriod(now);
    for (const route of this.#routes) {
      const { target, service } = route;
      const free = Math.max(
        0,
        this.#ramp.usable(route, now) - (this.#totals.get(target) ?? 0),
      );
      const available = inGracePeriod
        ? Math.min(free, holder.confirmedSlots(target))
        : free;
      const row = this.#plans.get(service)?.get(holder.key);
      const slots = Math.min(row?.get(target) ?? 0, available);
      if (slots > 0) {
        wanted.set(target, slots);
      }
    }
    if (!inGracePeriod) {
      this.#addSpareSlots(holder, wanted, now);
    }
    return wanted;
  }

  /** Adds the slots of a holder to the totals, or takes them away. */
  #addToTotals(holder: SlotHolder, sign: 1 | -1): void {
    for (const [target, slots] of holder.held) {
      const total = (this.#totals.get(target) ?? 0) + sign * slots;
      if (total === 0) {
        this.#totals.delete(target);
      } else {
        this.#totals.set(target, total);
      }
    }
  }

  #remove(holder: SlotHolder): void {
    this.#addToTotals(holder, -1);
    this.#holders.delete(holder.key);
    this.#plannedAt = Number.NEGATIVE_INFINITY;
  }

  /** Gives an entry with waiting requests slots that are meant for nobody, one target after the other. */
  #addSpareSlots(
    holder: SlotHolder,
    wanted: Map<string, number>,
    now: number,
  ): void {
    for (const [service, need] of Object.entries(holder.needs)) {
      if (need.waiting === 0) {
        continue;
      }
      const spare = this.#spareSlots(service, { holder, wanted, now });
      for (let waiting = need.waiting; waiting > 0; waiting--) {
        const target = targetWithMostSpare(spare);
        if (target === undefined) {
          break;
        }
        wanted.set(target, (wanted.get(target) ?? 0) + 1);
        spare.set(target, (spare.get(target) ?? 0) - 1);
      }
    }
  }

  /** Slots of a service that no other entry holds or is meant to hold. */
  #spareSlots(
    service: string,
    { holder, wanted, now }: {
      holder: SlotHolder;
      wanted: ReadonlyMap<string, number>;
      now: number;
    },
  ): Map<string, number> {
    const plan: SlotMatrix = this.#plans.get(service) ?? new Map();
    const spare = new Map<string, number>();
    for (const route of this.#routes) {
      if (route.service !== service) {
        continue;
      }
      const { target } = route;
      let slots = this.#ramp.usable(route, now);
      for (const other of this.#holders.values()) {
        const held = other.held.get(target) ?? 0;
        slots -= other === holder
          ? 0
          : Math.max(held, slotsAt(plan, other.key, target));
      }
      const limit = Math.min(slots, this.#maxSlotsPerEntry(route));
      spare.set(target, limit - (wanted.get(target) ?? 0));
    }
    return spare;
  }

  /** Most slots of a target for one entry, so that all entries together stay within its connections. */
  #maxSlotsPerEntry(route: Route): number {
    const share = route.connections / Math.max(1, this.#holders.size);
    return Math.max(1, Math.floor(share));
  }

  #plan(now: number): void {
    if (now - this.#plannedAt < PLAN_INTERVAL_MS) {
      return;
    }
    this.#plannedAt = now;
    const services = new Map<string, TargetSlots[]>();
    for (const route of this.#routes) {
      const targets = services.get(route.service) ?? [];
      targets.push({
        target: route.target,
        slots: this.#ramp.usable(route, now),
        maxPerEntry: this.#maxSlotsPerEntry(route),
      });
      services.set(route.service, targets);
    }
    for (const service of [...this.#plans.keys()]) {
      if (!services.has(service)) {
        this.#plans.delete(service);
        this.#planInputs.delete(service);
      }
    }
    for (const [service, targets] of services) {
      const needs = this.#needsOf(service, now);
      const last = this.#planInputs.get(service);
      if (
        last === undefined || !haveEqualFields(last.needs, needs) ||
        !haveEqualFields(last.targets, targets)
      ) {
        const matrix = this.#plans.get(service) ?? new Map();
        this.#plans.set(service, matrix);
        divideSlots(matrix, needs, targets);
        this.#planInputs.set(service, { needs, targets });
      }
    }
  }

  #needsOf(service: string, now: number): EntryNeed[] {
    return [...this.#holders.values()].filter((holder) =>
      now < this.#leaseEnd(holder)
    ).map((holder) => ({
      entry: holder.key,
      live: holder.needs[service]?.live ?? 0,
      overnight: holder.needs[service]?.overnight ?? 0,
      waiting: holder.needs[service]?.waiting ?? 0,
    }));
  }

  #leaseEnd(holder: SlotHolder): number {
    return holder.renewedAt + this.#setup.leaseMs + this.#setup.marginMs;
  }

  /** Takes slots back from entries whose leases and runs have surely ended. */
  #reclaim(now: number): void {
    for (const holder of this.#holders.values()) {
      const sinceLeaseEndMs = now - this.#leaseEnd(holder);
      if (sinceLeaseEndMs < 0) {
        continue;
      }
      const drained = [...holder.held.keys()].filter((target) => {
        const service = this.#services.get(target) ?? "";
        return sinceLeaseEndMs >= this.#drainMs(holder, service);
      });
      this.#addToTotals(holder, -1);
      holder.reclaim(drained);
      this.#addToTotals(holder, 1);
      if (holder.held.size === 0) {
        this.#remove(holder);
      }
    }
  }
}

/** Whether two lists hold records with the same values. */
function haveEqualFields<T extends object>(
  a: readonly T[],
  b: readonly T[],
): boolean {
  return a.length === b.length && a.every((row, index) => {
    const other = b[index];
    return other !== undefined &&
      Object.entries(row).every(([key, value]) =>
        other[key as keyof T] === value
      );
  });
}

function targetWithMostSpare(
  spare: ReadonlyMap<string, number>,
): string | undefined {
  let best: string | undefined;
  let most = 0;
  for (const [target, slots] of spare) {
    if (slots > most) {
      best = target;
      most = slots;
    }
  }
  return best;
}

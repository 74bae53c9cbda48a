/**
 * The leader's allocation of slots to entries. A slot is granted again only after its holder reported that it released
 * the slot, or after the holder's lease has expired and its runs had time to end.
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
import type { Route } from "./router_types.ts";
import { TargetRamp } from "./target_ramp.ts";

/** Interval at which the allocation of slots is recomputed. */
const PLAN_INTERVAL_MS = 500;

/** Time given to the runs of a lost entry to end, in multiples of its longest recent run. */
const DRAIN_RUNS = 2;
const MIN_DRAIN_MS = 1_000;
const MAX_DRAIN_MS = 60_000;

/** Options of an allocator; durations are in milliseconds. */
export interface SlotAllocatorOptions {
  /** Term of this leader, higher than that of every earlier leader. */
  epoch: number;
  /** Duration of an entry's lease. */
  leaseMs: number;
  /** Margin for clock drift that the leader adds to the lease. */
  marginMs: number;
  /** Entries that may hold slots granted by an earlier leader. */
  entries: readonly string[];
  /** Time given to the runs of a lost entry, in multiples of its longest recent run; 0 for no time at all. */
  drainRuns?: number;
}

/** Allocation of the slots of one target. */
export interface SlotAllocation {
  target: string;
  slots: number;
  /** Slots that may be used now; fewer than `slots` during slow start. */
  usable: number;
  holders: { entry: string; incarnation: number; slots: number }[];
}

interface PlanInput {
  needs: EntryNeed[];
  targets: TargetSlots[];
}

/** Slot allocation of one leadership term; soft state that a new leader rebuilds from the entries' reports. */
export class SlotAllocator {
  readonly #options: SlotAllocatorOptions;
  readonly #holders = new Map<string, SlotHolder>();
  readonly #plans = new Map<string, SlotMatrix>();
  /** Slots of each target that all holders together may use. */
  readonly #totals = new Map<string, number>();
  /** Service of each target; kept for a removed target until no holder may use its slots. */
  readonly #services = new Map<string, string>();
  readonly #ramp = new TargetRamp();
  /** Entries that may still use slots of an earlier leader which they have not reported to this one. */
  readonly #unreportedEntries: Set<string>;
  #routes: readonly Route[] = [];
  readonly #startedAt: number;
  /** Input of the current plan of each service; a plan is kept while its input is unchanged. */
  readonly #planInputs = new Map<string, PlanInput>();
  #plannedAt = Number.NEGATIVE_INFINITY;
  #sequence = 0;

  constructor(options: SlotAllocatorOptions, now: number) {
    this.#options = options;
    this.#unreportedEntries = new Set(options.entries);
    this.#startedAt = now;
  }

  /** Replaces the table of targets. New targets get a slow start. */
  setTargets(routes: readonly Route[], now: number): void {
    this.#ramp.update(routes, {
      now,
      isGracePeriodOver: !this.isInGracePeriod(now),
    });
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

  /** Applies an entry's report and grants slots; undefined when it is out of order or from another epoch. */
  report(report: SlotReport, now: number): SlotGrant | undefined {
    this.#reclaim(now);
    const key = `${report.entry}#${report.incarnation}`;
    const known = this.#holders.get(key);
    const holder = known ?? new SlotHolder(report.entry, report.incarnation);
    if (report.epoch !== this.#options.epoch || holder.isStale(report)) {
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

  /** Frees the slots of an entry process that shut down and has no requests in flight. */
  release(entry: string, incarnation: number): void {
    this.#unreportedEntries.delete(entry);
    const holder = this.#holders.get(`${entry}#${incarnation}`);
    if (holder !== undefined) {
      this.#remove(holder);
    }
  }

  /** The allocation of the slots of every target. */
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

  /** Whether entries may still use slots of an earlier leader that they have not reported to this one. */
  isInGracePeriod(now: number): boolean {
    return this.#unreportedEntries.size > 0 &&
      now < this.#startedAt + this.#gracePeriodMs();
  }

  /** Time after which all leases granted by an earlier leader have expired and all runs under them have ended. */
  #gracePeriodMs(): number {
    const { leaseMs, marginMs } = this.#options;
    let drainMs = MIN_DRAIN_MS;
    for (const holder of this.#holders.values()) {
      for (const service of Object.keys(holder.needs)) {
        drainMs = Math.max(drainMs, this.#drainMs(holder, service));
      }
    }
    return leaseMs + marginMs + drainMs;
  }

  /** Time that the runs of a lost entry at a service are given to end, in milliseconds. */
  #drainMs(holder: SlotHolder, service: string): number {
    const { drainRuns = DRAIN_RUNS } = this.#options;
    if (drainRuns === 0) {
      return 0;
    }
    const wantedMs = drainRuns * holder.longestRunMs(service);
    return Math.min(MAX_DRAIN_MS, Math.max(MIN_DRAIN_MS, wantedMs));
  }

  /** Grants a holder its slots by the plan. The totals must not include its current slots. */
  #grant(holder: SlotHolder, now: number): SlotGrant {
    this.#plan(now);
    this.#sequence += 1;
    return holder.grant(this.#wanted(holder, now), {
      epoch: this.#options.epoch,
      sequence: this.#sequence,
    });
  }

  /** Slots per target to grant to a holder. In the grace period it gets none beyond those it reported to hold. */
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

  /** Adds the slots of a holder to the totals, or subtracts them. */
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

  /** Adds spare slots for the queued requests of an entry, one at a time from the target with most of them. */
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

  /** Slots per target of a service that no other entry holds or is planned to get. */
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

  /** Maximum slots of a target per entry; keeps all entries together within its connections. */
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
    return holder.renewedAt + this.#options.leaseMs + this.#options.marginMs;
  }

  /** Frees slots of entries whose leases have expired and whose runs must have ended. */
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

/** Whether two lists have records with equal fields in the same order. */
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

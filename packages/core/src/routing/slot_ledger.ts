/**
 * The leader's account of who may use which slots. A slot is granted again only after its holder reported it
 * returned, or after the holder's lease has surely ended and its runs had time to end.
 *
 * @module
 */
import { SlotHolder } from "./slot_holder.ts";
import {
  cell,
  divide,
  type EntryNeed,
  type SlotMatrix,
  type TargetSlots,
} from "./slot_plan.ts";
import type { SlotGrant, SlotReport } from "./slot_report.ts";
import type { Route } from "./submission.ts";

/** How often the division of slots is computed again. */
const PLAN_INTERVAL_MS = 200;

/** A target that joined a running fleet starts with this many slots. */
const FIRST_SLOTS = 2;

/** Time for each further slot of a target that joined. */
const RAMP_STEP_MS = 500;

/** How many times the longest run a lost entry's runs are given to end. */
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
  /** Share of the slots that is kept back for entries with waiting requests. */
  reserveShare?: number;
}

/** Slots of one target, for the status page. */
export interface SlotAccount {
  target: string;
  slots: number;
  usable: number;
  holders: { entry: string; incarnation: number; slots: number }[];
}

/** The account of every slot. */
export class SlotLedger {
  readonly #setup: SlotLedgerSetup;
  readonly #holders = new Map<string, SlotHolder>();
  readonly #plans = new Map<string, SlotMatrix>();
  readonly #joinedAt = new Map<string, number>();
  readonly #silent: Set<string>;
  #routes: readonly Route[] = [];
  readonly #startedAt: number;
  #plannedAt = Number.NEGATIVE_INFINITY;
  #sequence = 0;

  constructor(setup: SlotLedgerSetup, now: number) {
    this.#setup = setup;
    this.#silent = new Set(setup.entries);
    this.#startedAt = now;
  }

  /** Takes over the table of live targets. A target that was not in it before gets its slots step by step. */
  setTargets(routes: readonly Route[], now: number): void {
    const first = this.#routes.length === 0;
    const serving = routes.filter((route) => route.state === "serving");
    const names = new Set(serving.map((route) => route.target));
    for (const target of this.#joinedAt.keys()) {
      if (!names.has(target)) {
        this.#joinedAt.delete(target);
      }
    }
    for (const { target } of serving) {
      if (!this.#joinedAt.has(target)) {
        this.#joinedAt.set(target, first ? Number.NEGATIVE_INFINITY : now);
      }
    }
    this.#routes = routes;
    this.#plannedAt = Number.NEGATIVE_INFINITY;
  }

  /** Takes an entry's report in and grants it slots. */
  report(report: SlotReport, now: number): SlotGrant | undefined {
    this.#forgetLapsed(now);
    const key = `${report.entry}#${report.incarnation}`;
    const known = this.#holders.get(key);
    const holder = known ?? new SlotHolder(report.entry, report.incarnation);
    if (report.epoch !== this.#setup.epoch || !holder.take(report, now)) {
      return undefined;
    }
    if (report.ageMs >= this.#settleMs()) {
      this.#silent.delete(report.entry);
    }
    if (known === undefined) {
      this.#holders.set(key, holder);
      this.#plannedAt = Number.NEGATIVE_INFINITY;
    }
    this.#plan(now);
    this.#sequence += 1;
    return holder.grant(this.#wanted(holder, now), {
      epoch: this.#setup.epoch,
      sequence: this.#sequence,
    });
  }

  /** Frees the slots of an entry process that ended its work and uses none any more. */
  release(entry: string, incarnation: number): void {
    this.#silent.delete(entry);
    this.#holders.delete(`${entry}#${incarnation}`);
    this.#plannedAt = Number.NEGATIVE_INFINITY;
  }

  /** The account of every target, for the status page. */
  describe(now: number): SlotAccount[] {
    return this.#routes.map((route) => ({
      target: route.target,
      slots: route.slots,
      usable: this.#usable(route, now),
      holders: [...this.#holders.values()].flatMap((holder) => {
        const slots = holder.held(route.target);
        const { entry, incarnation } = holder;
        return slots === 0 ? [] : [{ entry, incarnation, slots }];
      }),
    }));
  }

  /** Whether slots of an earlier leader may still be in use unreported. */
  isQuiet(now: number): boolean {
    return this.#silent.size > 0 && now < this.#startedAt + this.#settleMs();
  }

  /** Time after which nothing that an earlier leader or process allowed is at work any more. */
  #settleMs(): number {
    const { leaseMs, marginMs } = this.#setup;
    const holders = [...this.#holders.values()];
    return leaseMs + marginMs +
      Math.max(MIN_DRAIN_MS, ...holders.map(drainMsOf));
  }

  #wanted(holder: SlotHolder, now: number): Map<string, number> {
    const wanted = new Map<string, number>();
    const spare = new Map<string, number>();
    const quiet = this.isQuiet(now);
    for (const route of this.#routes) {
      const { target, service } = route;
      const { free, unplanned } = this.#room(route, { holder, now });
      const room = quiet ? Math.min(free, holder.confirmed(target)) : free;
      const plan = this.#plans.get(service);
      const planned = plan === undefined ? 0 : cell(plan, holder.key, target);
      const slots = Math.min(planned, room);
      if (slots > 0) {
        wanted.set(target, slots);
      }
      const limit = Math.min(room, unplanned, this.#perEntry(route));
      spare.set(target, Math.max(0, limit - slots));
    }
    this.#lendReserve(holder, { wanted, spare });
    return wanted;
  }

  /** Gives an entry with waiting requests slots that nobody holds, one target after the other. */
  #lendReserve(
    holder: SlotHolder,
    { wanted, spare }: {
      wanted: Map<string, number>;
      spare: Map<string, number>;
    },
  ): void {
    for (const [service, need] of Object.entries(holder.needs)) {
      let waiting = need.waiting;
      const routes = this.#routes.filter((r) => r.service === service);
      while (waiting > 0) {
        const target = mostSpare(routes, spare);
        if (target === undefined) {
          break;
        }
        wanted.set(target, (wanted.get(target) ?? 0) + 1);
        spare.set(target, (spare.get(target) ?? 0) - 1);
        waiting -= 1;
      }
    }
  }

  /** Slots of a target that no other holder may use, and those that are not meant for another either. */
  #room(
    route: Route,
    { holder, now }: { holder: SlotHolder; now: number },
  ): { free: number; unplanned: number } {
    const plan: SlotMatrix = this.#plans.get(route.service) ?? new Map();
    let free = this.#usable(route, now);
    let unplanned = free;
    for (const other of this.#holders.values()) {
      if (other !== holder) {
        const held = other.held(route.target);
        free -= held;
        unplanned -= Math.max(held, cell(plan, other.key, route.target));
      }
    }
    return { free: Math.max(0, free), unplanned: Math.max(0, unplanned) };
  }

  #usable(route: Route, now: number): number {
    const joinedAt = this.#joinedAt.get(route.target);
    if (joinedAt === undefined) {
      return 0;
    }
    const steps = Math.floor((now - joinedAt) / RAMP_STEP_MS);
    return Math.min(route.slots, FIRST_SLOTS + steps);
  }

  /** Most slots of a target for one entry, so that all entries together stay within its connections. */
  #perEntry(route: Route): number {
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
        slots: this.#usable(route, now),
        perEntry: this.#perEntry(route),
      });
      services.set(route.service, targets);
    }
    for (const service of [...this.#plans.keys()]) {
      if (!services.has(service)) {
        this.#plans.delete(service);
      }
    }
    for (const [service, targets] of services) {
      const matrix = this.#plans.get(service) ?? new Map();
      this.#plans.set(service, matrix);
      divide(matrix, this.#needsOf(service, now), this.#keepBack(targets));
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

  /** Leaves the reserve out of the division, spread over the targets. */
  #keepBack(targets: TargetSlots[]): TargetSlots[] {
    const total = targets.reduce((sum, { slots }) => sum + slots, 0);
    const kept = Math.floor(total * (this.#setup.reserveShare ?? 0));
    return targets.map((target, index) => {
      const rounds = Math.ceil((kept - index) / targets.length);
      const slots = Math.max(0, target.slots - Math.max(0, rounds));
      return { ...target, slots };
    });
  }

  #leaseEnd(holder: SlotHolder): number {
    return holder.renewedAt + this.#setup.leaseMs + this.#setup.marginMs;
  }

  #forgetLapsed(now: number): void {
    for (const [key, holder] of this.#holders) {
      if (now >= this.#leaseEnd(holder) + drainMsOf(holder)) {
        this.#holders.delete(key);
        this.#plannedAt = Number.NEGATIVE_INFINITY;
      }
    }
  }
}

/** Time that the runs of a lost entry are given to end. */
function drainMsOf(holder: SlotHolder): number {
  const wantedMs = DRAIN_RUNS * holder.longestRunMs;
  return Math.min(MAX_DRAIN_MS, Math.max(MIN_DRAIN_MS, wantedMs));
}

function mostSpare(
  routes: readonly Route[],
  spare: ReadonlyMap<string, number>,
): string | undefined {
  let best: string | undefined;
  let most = 0;
  for (const { target } of routes) {
    const slots = spare.get(target) ?? 0;
    if (slots > most) {
      best = target;
      most = slots;
    }
  }
  return best;
}

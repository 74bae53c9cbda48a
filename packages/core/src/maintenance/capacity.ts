/**
 * Capacity and need of the services, in slots, and the check that every stop must pass: what stays carries the need
 * even after the worst further single loss.
 *
 * @module
 */
import type { VmRecord } from "../fleet.ts";
import type { Maintenance, Service } from "../rules.ts";
import type { State } from "../state.ts";
import { expectedPeak, meanPeak, spendingOf } from "./budget.ts";
import type { Hold, Observation } from "./observation.ts";
import { longestStopMs } from "./width.ts";

/** An estimate that is older is no longer used. */
export const NEED_MAX_AGE_MS = 300_000;
/** Share of a budget that is kept for failures: no planned stop spends it. */
export const BUDGET_RESERVE = 0.25;

interface Supply {
  service: Service;
  total: number;
  domains: Map<string, number>;
  /** Why no VM of this service may stop, whatever the capacity. */
  refusal: Hold | undefined;
  /** The need now, and the highest until a lost VM is replaced. */
  needNow: number;
  need: number;
  /** Unserved need, in slot milliseconds, that the worst further loss may cause while a wave is out. */
  risk: number;
}

/** Where a VM is. */
export interface Location {
  rack: string;
  zone: string;
}

/** The place of each VM of the inventory. */
export function locations(state: State): Map<string, Location> {
  const zones = new Map(state.inventory.racks.map((r) => [r.name, r.zone]));
  return new Map(
    state.inventory.vms.map((vm) => [
      vm.name,
      { rack: vm.rack, zone: zones.get(vm.rack) ?? "" },
    ]),
  );
}

/** The capacity that serves now, less what this pass has taken. */
export class Capacity {
  readonly #supplies = new Map<string, Supply>();
  readonly #pools = new Map<string, Supply[]>();
  readonly #places: ReadonlyMap<string, Location>;
  readonly #observation: Observation;
  readonly #survives: "vm" | "rack" | "zone";
  readonly #exposureMs: number;

  constructor(state: State, observation: Observation, now: number) {
    this.#observation = observation;
    this.#survives = state.rules.maintenance.survives;
    this.#exposureMs = longestStopMs(state.rules.maintenance);
    this.#places = locations(state);
    for (const service of state.rules.services) {
      this.#addService(state, service, now);
    }
    for (const record of Object.values(state.vms)) {
      if (serves(record, observation)) {
        this.#add(record, 1);
      }
    }
  }

  /** Takes the slots of a VM out. */
  take(record: VmRecord): void {
    this.#add(record, -1);
  }

  /** Gives the slots of a VM back. */
  put(record: VmRecord): void {
    this.#add(record, 1);
  }

  /** Why this VM may not stop now, or undefined when it may. */
  refusal(record: VmRecord): Hold | undefined {
    const supplies = this.#pools.get(record.pool) ?? [];
    const refused = supplies.find((supply) => supply.refusal !== undefined);
    if (refused?.refusal !== undefined) {
      return { ...refused.refusal, vm: record.name };
    }
    if (!serves(record, this.#observation)) {
      return undefined;
    }
    this.take(record);
    const short = supplies.find((s) => this.#isShort(s));
    const hold = short && tooLittle(record.name, short);
    this.put(record);
    return hold;
  }

  /** The service of this pool that is short of capacity now, without any further loss. */
  shortfall(pool: string): Hold | undefined {
    const short = this.#pools.get(pool)?.find((s) => s.total < s.needNow);
    return short && {
      rule: "shortfall",
      service: short.service.name,
      figure: short.total,
      limit: short.needNow,
      message:
        `Service "${short.service.name}" has ${short.total} slots and needs ${
          short.needNow.toFixed(1)
        }`,
    };
  }

  /** The smallest share, over all services, by which capacity after the worst further loss exceeds the need. */
  slack(): number {
    let slack = Number.POSITIVE_INFINITY;
    for (const supply of this.#supplies.values()) {
      const left = supply.total - worstLoss(supply).slots;
      slack = Math.min(slack, left / Math.max(1, supply.need) - 1);
    }
    return slack;
  }

  /**
   * Whether too little would stay: without any further loss for as long as a lost VM is not replaced, or with the worst
   * further loss until the wave is back.
   */
  #isShort(supply: Supply): boolean {
    const lacking = supply.need - (supply.total - worstLoss(supply).slots);
    return supply.total < supply.need ||
      lacking > 0 && lacking * this.#exposureMs > supply.risk;
  }

  #addService(state: State, service: Service, now: number): void {
    const sample = this.#observation.needs.get(service.name);
    const account = state.accounts.services[service.name];
    const until = now + state.rules.maintenance.repairMs;
    const known = sample !== undefined && now - sample.at <= NEED_MAX_AGE_MS;
    const { left } = spendingOf(account, service.budget, now);
    const supply: Supply = {
      service,
      total: 0,
      domains: new Map(),
      refusal: known ? overspent(service, left) : unknownNeed(service),
      needNow: sample?.slots ?? 0,
      risk: riskOf(state.rules.maintenance, service, {
        left,
        mean: meanPeak(account),
      }),
      need: Math.max(
        sample?.slots ?? 0,
        expectedPeak(account, now, until) ?? 0,
      ),
    };
    this.#supplies.set(service.name, supply);
    const pool = this.#pools.get(service.pool) ?? [];
    pool.push(supply);
    this.#pools.set(service.pool, pool);
  }

  #add(record: VmRecord, sign: 1 | -1): void {
    const slots = this.#observation.conditions.get(record.name)?.slots ?? {};
    const place = this.#places.get(record.name);
    if (place === undefined) {
      return;
    }
    const domain = this.#survives === "vm"
      ? record.name
      : place[this.#survives];
    for (const supply of this.#pools.get(record.pool) ?? []) {
      const amount = sign * (slots[supply.service.name] ?? 0);
      supply.total += amount;
      supply.domains.set(domain, (supply.domains.get(domain) ?? 0) + amount);
    }
  }
}

function riskOf(
  { riskShare }: Maintenance,
  { budget }: Service,
  { left, mean }: { left: number; mean: number },
): number {
  return riskShare * left * budget.unservedShare * budget.windowMs * mean;
}

/** Whether a VM serves now. */
export function serves(record: VmRecord, observation: Observation): boolean {
  return record.phase === "serving" &&
    observation.conditions.get(record.name)?.live === true;
}

function worstLoss(supply: Supply): { domain: string; slots: number } {
  let worst = { domain: "", slots: 0 };
  for (const [domain, slots] of supply.domains) {
    if (slots > worst.slots) {
      worst = { domain, slots };
    }
  }
  return worst;
}

function tooLittle(vm: string, supply: Supply): Hold {
  const { domain, slots } = worstLoss(supply);
  const left = supply.total - slots;
  const { name } = supply.service;
  return {
    rule: "capacity",
    vm,
    service: name,
    figure: left,
    limit: supply.need,
    message:
      `Without VM "${vm}", and after a loss of "${domain}", service "${name}" would keep ${left} slots and needs ${
        supply.need.toFixed(1)
      }`,
  };
}

function overspent(service: Service, left: number): Hold | undefined {
  if (left > BUDGET_RESERVE) {
    return undefined;
  }
  return {
    rule: "budget",
    service: service.name,
    figure: left,
    limit: BUDGET_RESERVE,
    message: `Service "${service.name}" has ${
      (100 * left).toFixed(0)
    } % of its availability budget left; planned stops need more than ${
      100 * BUDGET_RESERVE
    } %`,
  };
}

function unknownNeed(service: Service): Hold {
  return {
    rule: "need_unknown",
    service: service.name,
    message:
      `The need of service "${service.name}" has not been observed in the last ${
        NEED_MAX_AGE_MS / 1_000
      } s`,
  };
}

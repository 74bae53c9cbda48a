/**
 * Capacity and demand of the services, in slots, and the check before every planned stop: the remaining capacity must
 * cover the demand even after the worst single loss of a failure domain.
 *
 * @module
 */
import type { VmRecord } from "../fleet.ts";
import type { Maintenance, Service } from "../rules.ts";
import type { State } from "../state.ts";
import { expectedPeak, meanPeak, spendingOf } from "./budget.ts";
import type { Hold, Observation } from "./observation.ts";
import { isUnobserved } from "./silence.ts";
import { longestStopMs } from "./width.ts";

/** Older demand estimates are ignored. */
export const DEMAND_MAX_AGE_MS = 300_000;
/** Share of a budget that is reserved for failures: planned stops need more than this share left. */
export const BUDGET_RESERVE_SHARE = 0.25;

interface ServiceCapacity {
  service: Service;
  totalSlots: number;
  /** Slots by failure domain, whose size `survives` in the rules sets. */
  slotsByDomain: Map<string, number>;
  /** Why no VM of this service may stop, regardless of capacity. */
  hold: Hold | undefined;
  /** Current demand in slots. */
  demandNow: number;
  /** Highest expected demand in slots until a lost VM is replaced. */
  peakDemand: number;
  /** A serving VM of the pool from which a new leader has not heard yet; its slots are not known. */
  unobservedVm: string | undefined;
  /** Unserved demand that the worst further loss may cause during a wave, in slot milliseconds. */
  riskSlotMs: number;
}

/** The rack and zone of a VM. */
export interface Location {
  rack: string;
  zone: string;
}

/** The location of each VM of the inventory. */
export function vmLocations(state: State): Map<string, Location> {
  const zones = new Map(state.inventory.racks.map((r) => [r.name, r.zone]));
  return new Map(
    state.inventory.vms.map((vm) => [
      vm.name,
      { rack: vm.rack, zone: zones.get(vm.rack) ?? "" },
    ]),
  );
}

/** Capacity of the VMs that serve now, without those that the current pass has selected for a stop. */
export class Capacity {
  readonly #capacities = new Map<string, ServiceCapacity>();
  readonly #capacitiesByPool = new Map<string, ServiceCapacity[]>();
  readonly #locations: ReadonlyMap<string, Location>;
  readonly #observation: Observation;
  readonly #lossDomain: "vm" | "rack" | "zone";
  readonly #exposureMs: number;

  constructor(state: State, observation: Observation, now: number) {
    this.#observation = observation;
    this.#lossDomain = state.rules.maintenance.survives;
    this.#exposureMs = longestStopMs(state.rules.maintenance);
    this.#locations = vmLocations(state);
    for (const service of state.rules.services) {
      this.#addService(state, service, now);
    }
    for (const record of Object.values(state.vms)) {
      if (isServing(record, observation)) {
        this.#addSlots(record, 1);
      } else if (
        isUnobserved(record, observation.conditions.get(record.name), now)
      ) {
        for (const capacity of this.#capacitiesByPool.get(record.pool) ?? []) {
          capacity.unobservedVm = record.name;
        }
      }
    }
  }

  /** Subtracts the slots of a VM that is selected for a stop. */
  remove(record: VmRecord): void {
    this.#addSlots(record, -1);
  }

  /** Adds the slots of a removed VM again. */
  restore(record: VmRecord): void {
    this.#addSlots(record, 1);
  }

  /** Why this VM may not stop now; undefined when it may. */
  holdFor(record: VmRecord): Hold | undefined {
    const capacities = this.#capacitiesByPool.get(record.pool) ?? [];
    const held = capacities.find((capacity) => capacity.hold !== undefined);
    if (held?.hold !== undefined) {
      return { ...held.hold, vm: record.name };
    }
    if (!isServing(record, this.#observation)) {
      return undefined;
    }
    this.remove(record);
    const short = capacities.find((s) => this.#isShort(s));
    const hold = short && capacityHold(record.name, short);
    this.restore(record);
    return hold;
  }

  /** The hold while the capacity of this pool is not known; undefined when it is. */
  unknownHold(pool: string): Hold | undefined {
    const unknown = this.#capacitiesByPool.get(pool)?.find((capacity) =>
      capacity.unobservedVm !== undefined
    );
    return unknown && {
      rule: "capacity_unknown",
      service: unknown.service.name,
      message:
        `The capacity of service "${unknown.service.name}" is not known: the leader has not heard from VM "${unknown.unobservedVm}" yet`,
    };
  }

  /**
   * The hold for a service of this pool whose known capacity is below its current demand; undefined when there is none.
   */
  shortfall(pool: string): Hold | undefined {
    const short = this.#capacitiesByPool.get(pool)?.find((s) =>
      s.unobservedVm === undefined && s.totalSlots < s.demandNow
    );
    return short && {
      rule: "shortfall",
      service: short.service.name,
      figure: short.totalSlots,
      limit: short.demandNow,
      message:
        `Service "${short.service.name}" has ${short.totalSlots} slots and needs ${
          short.demandNow.toFixed(1)
        }`,
    };
  }

  /**
   * The smallest share, over all services, by which the capacity after the worst further loss exceeds the peak demand.
   */
  slack(): number {
    let slack = Number.POSITIVE_INFINITY;
    for (const capacity of this.#capacities.values()) {
      const left = capacity.totalSlots - worstLoss(capacity).slots;
      slack = Math.min(slack, left / Math.max(1, capacity.peakDemand) - 1);
    }
    return slack;
  }

  /**
   * Whether the capacity is too low: below the peak demand without a further loss, or, after the worst further loss, by
   * more than the accepted risk for the duration of a wave.
   */
  #isShort(capacity: ServiceCapacity): boolean {
    const deficit = capacity.peakDemand -
      (capacity.totalSlots - worstLoss(capacity).slots);
    return capacity.totalSlots < capacity.peakDemand ||
      deficit > 0 && deficit * this.#exposureMs > capacity.riskSlotMs;
  }

  #addService(state: State, service: Service, now: number): void {
    const sample = this.#observation.demands.get(service.name);
    const account = state.accounts.services[service.name];
    const until = now + state.rules.maintenance.repairMs;
    const isRecent = sample !== undefined &&
      now - sample.at <= DEMAND_MAX_AGE_MS;
    const { left } = spendingOf(account, service.budget, now);
    const capacity: ServiceCapacity = {
      service,
      totalSlots: 0,
      unobservedVm: undefined,
      slotsByDomain: new Map(),
      hold: isRecent ? budgetHold(service, left) : unknownDemandHold(service),
      demandNow: sample?.slots ?? 0,
      riskSlotMs: riskBudgetSlotMs(state.rules.maintenance, service, {
        left,
        mean: meanPeak(account),
      }),
      peakDemand: Math.max(
        sample?.slots ?? 0,
        expectedPeak(account, now, until) ?? 0,
      ),
    };
    this.#capacities.set(service.name, capacity);
    const pool = this.#capacitiesByPool.get(service.pool) ?? [];
    pool.push(capacity);
    this.#capacitiesByPool.set(service.pool, pool);
  }

  #addSlots(record: VmRecord, sign: 1 | -1): void {
    const slots = this.#observation.conditions.get(record.name)?.slots ?? {};
    const location = this.#locations.get(record.name);
    if (location === undefined) {
      return;
    }
    const domain = this.#lossDomain === "vm"
      ? record.name
      : location[this.#lossDomain];
    for (const capacity of this.#capacitiesByPool.get(record.pool) ?? []) {
      const amount = sign * (slots[capacity.service.name] ?? 0);
      capacity.totalSlots += amount;
      capacity.slotsByDomain.set(
        domain,
        (capacity.slotsByDomain.get(domain) ?? 0) + amount,
      );
    }
  }
}

function riskBudgetSlotMs(
  { riskShare }: Maintenance,
  { budget }: Service,
  { left, mean }: { left: number; mean: number },
): number {
  return riskShare * left * budget.unservedShare * budget.windowMs * mean;
}

/** Whether a VM is in phase `serving` and answers. */
export function isServing(record: VmRecord, observation: Observation): boolean {
  return record.phase === "serving" &&
    observation.conditions.get(record.name)?.live === true;
}

function worstLoss(
  capacity: ServiceCapacity,
): { domain: string; slots: number } {
  let worst = { domain: "", slots: 0 };
  for (const [domain, slots] of capacity.slotsByDomain) {
    if (slots > worst.slots) {
      worst = { domain, slots };
    }
  }
  return worst;
}

function capacityHold(vm: string, capacity: ServiceCapacity): Hold {
  const { domain, slots } = worstLoss(capacity);
  const left = capacity.totalSlots - slots;
  const { name } = capacity.service;
  return {
    rule: "capacity",
    vm,
    service: name,
    figure: left,
    limit: capacity.peakDemand,
    message:
      `Without VM "${vm}", and after a loss of "${domain}", service "${name}" would keep ${left} slots and needs ${
        capacity.peakDemand.toFixed(1)
      }`,
  };
}

function budgetHold(service: Service, left: number): Hold | undefined {
  if (left > BUDGET_RESERVE_SHARE) {
    return undefined;
  }
  return {
    rule: "budget",
    service: service.name,
    figure: left,
    limit: BUDGET_RESERVE_SHARE,
    message: `Service "${service.name}" has ${
      (100 * left).toFixed(0)
    } % of its availability budget left; planned stops need more than ${
      100 * BUDGET_RESERVE_SHARE
    } %`,
  };
}

function unknownDemandHold(service: Service): Hold {
  return {
    rule: "need_unknown",
    service: service.name,
    message:
      `The need of service "${service.name}" has not been observed in the last ${
        DEMAND_MAX_AGE_MS / 1_000
      } s`,
  };
}

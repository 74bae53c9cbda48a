/**
 * Runs one maintenance round under a policy and measures it.
 *
 * @module
 */
import { type State, vmLocations, windowRemainingMs } from "@quetzalcove/core";
import { FleetSimulation } from "./simulation.ts";
import type { Policy } from "./policy.ts";
import type { FleetProfile } from "./fleet_profile.ts";

/** Metrics of one run. */
export interface RoundMetrics {
  /** Whether the seed has an incident. */
  incident: boolean;
  /** Whether every VM was maintained within the time limit. */
  complete: boolean;
  /** From the start of the round until the last VM was back, in minutes. */
  rolloutMinutes: number;
  /** Drains started for each VM maintained. */
  moves: number;
  /**
   * Spare capacity, as a share of demand, that the fleet must hold so that the loss of one more zone at any moment of
   * the round leaves no demand unserved: the maximum, over time and services, of total over remaining capacity, minus
   * one. Only VMs that the policy took out of service count as unavailable. Infinite when nothing would remain.
   */
  buffer: number;
  /** Number of services whose unserved demand exceeded their budget for the window. */
  breaches: number;
  /** The highest share of its budget that any service used. */
  spent: number;
  /** Minutes with VMs out of service for a wave outside every maintenance window. */
  outsideMinutes: number;
  /** Number of VMs rebooted more than once in the round. */
  repeated: number;
  /** 99.9th percentile of the duration of a decision pass, in milliseconds. */
  passMs: number;
}

const MINUTE_MS = 60_000;
const PASS_QUANTILE = 0.999;

/** Runs until every VM is maintained or `limitMs` of simulated time has passed. */
export function measureRound(
  profile: FleetProfile,
  policy: Policy,
  { seed, limitMs, clock }: {
    seed: number;
    limitMs: number;
    clock: () => number;
  },
): RoundMetrics {
  const simulation = new FleetSimulation(profile, seed);
  const start = simulation.now;
  const spareCapacity = new SpareCapacityTracker(simulation.state);
  const passDurationsMs: number[] = [];
  let outsideMs = 0;
  while (
    !isRoundComplete(simulation.state) && simulation.now - start < limitMs
  ) {
    simulation.tick();
    const observation = simulation.observe();
    const from = clock();
    const decision = policy(simulation.state, observation, simulation.now);
    passDurationsMs.push(clock() - from);
    decision.commands.forEach((command) => simulation.apply(command));
    decision.actions.forEach((action) => simulation.perform(action));
    spareCapacity.sample(simulation.state);
    outsideMs += isStoppedOutsideWindows(simulation, profile)
      ? profile.tickMs
      : 0;
  }
  const { state } = simulation;
  const maintained = Object.values(state.vms).filter((vm) =>
    isMaintained(state, vm)
  );
  return {
    incident: simulation.incident.kind !== "none",
    complete: isRoundComplete(state),
    rolloutMinutes: (simulation.now - start) / MINUTE_MS,
    moves: simulation.drainCount / Math.max(1, maintained.length),
    buffer: spareCapacity.buffer,
    ...budgetUse(simulation, profile),
    outsideMinutes: outsideMs / MINUTE_MS,
    repeated: simulation.repeatedReboots(),
    passMs: quantile(passDurationsMs, PASS_QUANTILE),
  };
}

function isMaintained(state: State, vm: State["vms"][string]): boolean {
  return state.rollout.round > 0 && vm.maintainedAt >= state.rollout.startedAt;
}

function isRoundComplete(state: State): boolean {
  return Object.values(state.vms).every((vm) =>
    isMaintained(state, vm) && (vm.phase === "serving" || vm.phase === "failed")
  );
}

function isStoppedOutsideWindows(
  simulation: FleetSimulation,
  profile: FleetProfile,
): boolean {
  const { windows } = profile.rules.maintenance;
  return windowRemainingMs(windows, simulation.now) === 0 &&
    Object.values(simulation.state.vms).some((vm) =>
      vm.reason === "wave" && vm.phase !== "serving"
    );
}

function budgetUse(
  simulation: FleetSimulation,
  profile: FleetProfile,
): { breaches: number; spent: number } {
  const spent = profile.rules.services.map(({ name, budget }) => {
    const allowed = budget.unservedShare * budget.windowMs *
      simulation.meanDemand(name);
    return simulation.unserved(name) / allowed;
  });
  return {
    breaches: spent.filter((share) => share > 1).length,
    spent: Math.max(...spent),
  };
}

function quantile(values: number[], share: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[
    Math.min(sorted.length - 1, Math.floor(share * sorted.length))
  ] ?? 0;
}

/** Tracks the spare capacity that a policy requires to survive the loss of one more zone. */
class SpareCapacityTracker {
  readonly #zones: Map<string, string>;
  #revision = -1;
  buffer = 0;

  constructor(state: State) {
    this.#zones = new Map(
      [...vmLocations(state)].map(([vm, place]) => [vm, place.zone]),
    );
  }

  sample(state: State): void {
    if (state.revision === this.#revision) {
      return;
    }
    this.#revision = state.revision;
    const pools = new Map<
      string,
      { total: number; remainingByZone: Map<string, number> }
    >();
    for (const vm of Object.values(state.vms)) {
      const pool = pools.get(vm.pool) ??
        { total: 0, remainingByZone: new Map() };
      pools.set(vm.pool, pool);
      pool.total += 1;
      const zone = this.#zones.get(vm.name) ?? "";
      const remaining = vm.reason === "wave" ? 0 : 1;
      pool.remainingByZone.set(
        zone,
        (pool.remainingByZone.get(zone) ?? 0) + remaining,
      );
    }
    for (const { total, remainingByZone } of pools.values()) {
      const zones = [...remainingByZone.values()];
      const remaining = zones.reduce((a, b) => a + b, 0) - Math.max(...zones);
      this.buffer = Math.max(this.buffer, total / remaining - 1);
    }
  }
}

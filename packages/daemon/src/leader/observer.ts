/**
 * What the leader observes of the fleet, from lease renewals of entries and answers of platform agents.
 *
 * @module
 */
import {
  DemandEstimator,
  type LeaseRecord,
  type Observation,
  type Reading,
  runCount,
  type State,
  type VmCondition,
  type VmRecord,
} from "@quetzalcove/core";
import type { PlatformAgentClient } from "../agents/platform_agent_client.ts";
import { longestRequestMs } from "./ledger_commands.ts";
import type { LeaderTermState } from "./leader_term_state.ts";

/** Time of a maintenance pass on both clocks, in milliseconds. */
export interface PassTime {
  /** Monotonic time. */
  now: number;
  /** Wall-clock time. */
  at: number;
}

interface Liveness {
  live: boolean;
  /** Whether the VM has answered this leader. */
  observed: boolean;
  /** Wall-clock time in milliseconds at which `live` last changed. */
  since: number;
}

export class Observer {
  readonly #demandEstimator = new DemandEstimator();
  readonly #liveness = new Map<string, Liveness>();
  readonly #startedAt: number;

  /** `startedAt` is the wall-clock time at which the leadership term began, in milliseconds. */
  constructor(startedAt: number) {
    this.#startedAt = startedAt;
  }

  /** Records a sample of the demand of each service and returns the current observation. */
  observe(
    state: State,
    termState: LeaderTermState,
    agents: PlatformAgentClient,
    time: PassTime,
  ): Observation {
    const leases = validLeases(termState, time.now);
    this.#recordDemands(state, leases, time.at);
    return {
      revisionInForce: termState.leases.revisionInForce(
        state.revision,
        time.now,
      ),
      conditions: this.#conditions(state, termState, agents, time),
      demands: this.#demands(state),
      readings: leases.flatMap(readingsOf),
      operations: agents.statuses,
    };
  }

  #recordDemands(
    state: State,
    records: readonly LeaseRecord[],
    at: number,
  ): void {
    if (records.length === 0) {
      return;
    }
    for (const { name } of state.rules.services) {
      const slots = records.reduce((sum, { slots }) => {
        const need = slots.needs[name];
        return sum + (need?.live ?? 0) + (need?.overnight ?? 0);
      }, 0);
      this.#demandEstimator.record(name, { slots, at });
    }
  }

  #demands(state: State): Observation["demands"] {
    const demands = new Map<string, { slots: number; at: number }>();
    for (const { name } of state.rules.services) {
      const estimate = this.#demandEstimator.estimate(name);
      if (estimate !== undefined) {
        demands.set(name, estimate);
      }
    }
    return demands;
  }

  #conditions(
    state: State,
    termState: LeaderTermState,
    agents: PlatformAgentClient,
    time: PassTime,
  ): Map<string, VmCondition> {
    const slots = slotsByVm(termState, time.now);
    const conditions = new Map<string, VmCondition>();
    const longestMs = longestRequestMs(state);
    for (const record of Object.values(state.vms)) {
      const vmSlots = slots.get(record.name);
      conditions.set(record.name, {
        ...this.#livenessOf(record, vmSlots !== undefined, time.at),
        slots: vmSlots ?? {},
        inFlight: termState.leases.isIdle(record, longestMs, time.now)
          ? 0
          : undefined,
        tasks: runCount(state.jobs, record.name),
        platformDrained: agents.isDrained(record.name),
      });
    }
    return conditions;
  }

  #livenessOf(vm: VmRecord, live: boolean, at: number): Liveness {
    const known = this.#liveness.get(vm.name);
    if (known !== undefined && known.live === live) {
      return known;
    }
    // A VM counts as silent only from when this leader could first have heard from it.
    const firstPossible = Math.max(this.#startedAt, vm.since);
    const changed = {
      live,
      observed: live || known !== undefined,
      since: known === undefined ? firstPossible : at,
    };
    this.#liveness.set(vm.name, changed);
    return changed;
  }
}

function validLeases(termState: LeaderTermState, now: number): LeaseRecord[] {
  return termState.leases.records().filter((record) =>
    termState.leases.isValid(record, now)
  );
}

/** Slots of live targets by VM and service, without targets that every entry has ejected. */
function slotsByVm(
  termState: LeaderTermState,
  now: number,
): Map<string, Record<string, number>> {
  const leases = validLeases(termState, now);
  const byVm = new Map<string, Record<string, number>>();
  for (const { target, vm, service, slots } of termState.targets.targets()) {
    const ejected = leases.length > 0 &&
      leases.every((record) => record.unhealthy.includes(target));
    if (!ejected) {
      const vmSlots = byVm.get(vm) ?? {};
      vmSlots[service] = (vmSlots[service] ?? 0) + slots;
      byVm.set(vm, vmSlots);
    }
  }
  return byVm;
}

/** Counts every ended request as needed, and refused and failed ones as unserved. */
function readingsOf({ entry, incarnation, usage }: LeaseRecord): Reading[] {
  return Object.entries(usage).map(([service, use]) => ({
    entry,
    incarnation,
    service,
    needed: use.finished + use.refused + use.failed,
    unserved: use.refused + use.failed,
  }));
}

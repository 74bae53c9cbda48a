/**
 * What the leader observes of the fleet, from the renewals of entries and the answers of platform agents.
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
import type { PlatformAgents } from "../agents/agents.ts";
import { longestRequestMs } from "./conductor.ts";
import type { Tenure } from "./tenure.ts";

/** The two clocks at one moment, in milliseconds. */
export interface Moment {
  /** Monotonic time. */
  now: number;
  /** Wall-clock time. */
  at: number;
}

interface Liveness {
  live: boolean;
  since: number;
}

export class Observer {
  readonly #needs = new DemandEstimator();
  readonly #liveness = new Map<string, Liveness>();
  readonly #startedAt: number;

  /** `startedAt` is the wall-clock time at which the leader took over. */
  constructor(startedAt: number) {
    this.#startedAt = startedAt;
  }

  /** Takes a sample of the need of each service, then tells all that is known. */
  observe(
    state: State,
    tenure: Tenure,
    agents: PlatformAgents,
    moment: Moment,
  ): Observation {
    const live = liveRecords(tenure, moment.now);
    this.#sample(state, live, moment.at);
    return {
      revisionInForce: tenure.leases.revisionInForce(
        state.revision,
        moment.now,
      ),
      conditions: this.#conditions(state, tenure, agents, moment),
      demands: this.#estimates(state),
      readings: live.flatMap(readingsOf),
      operations: agents.statuses,
    };
  }

  #sample(state: State, records: readonly LeaseRecord[], at: number): void {
    if (records.length === 0) {
      return;
    }
    for (const { name } of state.rules.services) {
      const slots = records.reduce((sum, { slots }) => {
        const need = slots.needs[name];
        return sum + (need?.live ?? 0) + (need?.overnight ?? 0);
      }, 0);
      this.#needs.record(name, { slots, at });
    }
  }

  #estimates(state: State): Observation["demands"] {
    const needs = new Map<string, { slots: number; at: number }>();
    for (const { name } of state.rules.services) {
      const estimate = this.#needs.estimate(name);
      if (estimate !== undefined) {
        needs.set(name, estimate);
      }
    }
    return needs;
  }

  #conditions(
    state: State,
    tenure: Tenure,
    agents: PlatformAgents,
    moment: Moment,
  ): Map<string, VmCondition> {
    const slots = slotsByVm(tenure, moment.now);
    const conditions = new Map<string, VmCondition>();
    const longest = longestRequestMs(state);
    for (const record of Object.values(state.vms)) {
      const found = slots.get(record.name);
      conditions.set(record.name, {
        ...this.#livenessOf(record, found !== undefined, moment.at),
        slots: found ?? {},
        inFlight: tenure.leases.isIdle(record, longest, moment.now)
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
    // Silence is counted from when this leader could first have heard of the VM.
    const first = Math.max(this.#startedAt, vm.since);
    const changed = { live, since: known === undefined ? first : at };
    this.#liveness.set(vm.name, changed);
    return changed;
  }
}

function liveRecords(tenure: Tenure, now: number): LeaseRecord[] {
  return tenure.leases.records().filter((record) =>
    tenure.leases.isValid(record, now)
  );
}

/** Slots of live targets by VM and service. A target that every entry has ejected does not count. */
function slotsByVm(
  tenure: Tenure,
  now: number,
): Map<string, Record<string, number>> {
  const entries = liveRecords(tenure, now);
  const byVm = new Map<string, Record<string, number>>();
  for (const { target, vm, service, slots } of tenure.targets.targets()) {
    const ejected = entries.length > 0 &&
      entries.every((record) => record.unhealthy.includes(target));
    if (!ejected) {
      const found = byVm.get(vm) ?? {};
      found[service] = (found[service] ?? 0) + slots;
      byVm.set(vm, found);
    }
  }
  return byVm;
}

/** Every request is needed; those refused or failed were not served. */
function readingsOf({ entry, incarnation, usage }: LeaseRecord): Reading[] {
  return Object.entries(usage).map(([service, use]) => ({
    entry,
    incarnation,
    service,
    needed: use.finished + use.refused + use.failed,
    unserved: use.refused + use.failed,
  }));
}

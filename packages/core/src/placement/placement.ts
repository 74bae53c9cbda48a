/**
 * Placement of each pool's jobs on VMs. The leader calls {@link Placement.pass} at each tick with the replicated state;
 * it returns one command to propose and the operations for agents.
 *
 * @module
 */
import type { State } from "../state.ts";
import { dispatchVm } from "./dispatch.ts";
import { decideEvictions } from "./eviction.ts";
import { explainJob, type Explanation } from "./explain.ts";
import {
  infeasibleReason,
  type PoolLimits,
  poolLimits,
  quotasOf,
} from "./feasibility.ts";
import type { JobChange, JobCommand } from "./job.ts";
import { JobIndex } from "./job_index.ts";
import { acceptReport, takeoverExpiry, type VmLease } from "./lease.ts";
import type { AgentOperation, AgentReport } from "./operation.ts";
import { decideQuarantine } from "./quarantine.ts";
import { QueuePlacer } from "./queue_placement.ts";
import { reconcileRuns } from "./reconcile.ts";
import type { Size } from "./size.ts";
import { SizeEstimator } from "./size_estimator.ts";
import { VmCapacities, vmLimits } from "./vm_capacity.ts";

/** Maximum waiting jobs in one pass that are checked for feasibility. */
const MAX_FEASIBILITY_CHECKS = 4_096;
const ENDED_JOB_RETENTION_MS = 6 * 3_600_000;
const PRUNE_INTERVAL_MS = 600_000;

/** Time and leadership term of a pass. */
export interface PlacementTick {
  /** Monotonic clock of the leader, in milliseconds. */
  now: number;
  /** Wall clock, in milliseconds. */
  at: number;
  term: number;
  /** When this leader first observed its term, on its monotonic clock. */
  since: number;
}

/** Result of a pass. */
export interface PlacementDecision {
  /** One step to propose; absent when nothing changes. */
  command?: Extract<JobCommand, { kind: "job.step" }>;
  operations: AgentOperation[];
  /** Whether to run the next pass as soon as the command is applied. */
  urgent: boolean;
}

/** Placement by one leader. It holds only data that a new leader can rebuild. */
export class Placement {
  #term = -1;
  #leases = new Map<string, VmLease>();
  readonly #index = new JobIndex();
  #estimator: SizeEstimator | undefined;
  #limits: PoolLimits = new Map();
  #quotas = new Map<string, Size>();
  #vms = new VmCapacities([], new Map());
  #revision = -1;
  #limitsKey = "";
  #estimatorSource: State["jobs"] | undefined;
  #unchecked: string[] = [];
  #prunedAt = -Infinity;

  /** Accepts an agent's report; false when it is older than the last one or from another term. */
  report(
    report: AgentReport,
    { now, term }: Pick<PlacementTick, "now" | "term">,
  ): boolean {
    if (term !== this.#term) {
      return false;
    }
    const lease = this.#leases.get(report.vm);
    const accepted = lease !== undefined &&
      acceptReport(lease, report, { now, term });
    if (accepted) {
      this.#index.changedVms.add(report.vm);
    }
    return accepted;
  }

  /** Runs one pass. The state must contain every committed entry of earlier terms. */
  pass(state: State, tick: PlacementTick): PlacementDecision {
    const isNewTerm = tick.term !== this.#term;
    const { now, at } = tick;
    const index = this.#index;
    const changed = index.sync(state.jobs);
    const limitsChanged = this.#syncConfiguration(state, isNewTerm);
    this.#term = tick.term;
    const { changedVms } = index;
    const leases = this.#leases;
    const vms = this.#vms;
    const estimator = this.#estimatorOf(state);
    const limits = this.#limits;
    const changes: JobChange[] = [];
    const initialExpiry = isNewTerm ? takeoverExpiry(tick.since) : undefined;
    const context = { index, leases, now, at, changedVms, estimator };
    reconcileRuns({ ...context, initialExpiry, changes });
    vms.update(state, { index, leases, now, changedVms });
    changedVms.clear();
    this.#refuseInfeasible(state, { changed, limitsChanged, changes });
    const operations = this.#dispatch(tick);
    decideEvictions(state, { vms, estimator, at, changes });
    decideQuarantine(state, { vms, at, changes });
    new QueuePlacer({ state, index, vms, limits, estimator, at, changes })
      .placeAll();
    this.#prune(at, changes);
    return decisionOf(state, { changes, operations, at });
  }

  /** Explains the state of a job. */
  explain(
    state: State,
    { job, tick }: { job: string; tick: PlacementTick },
  ): Explanation {
    const index = this.#index;
    index.sync(state.jobs);
    const { now, at } = tick;
    const leases = this.#leases;
    const vms = new VmCapacities(vmLimits(state), leases);
    vms.update(state, { index, leases, now, changedVms: new Set() });
    const estimator = this.#estimatorOf(state);
    const limits = poolLimits(state);
    return explainJob(state, job, { vms, estimator, limits, index, at });
  }

  #estimatorOf(state: State): SizeEstimator {
    if (this.#estimator === undefined || this.#estimatorSource !== state.jobs) {
      this.#estimator = new SizeEstimator(state.jobs);
      this.#estimatorSource = state.jobs;
    }
    return this.#estimator;
  }

  /**
   * Refuses waiting jobs that can never run. When limits or quotas changed, all are checked again, a bounded number in
   * each pass.
   */
  #refuseInfeasible(
    state: State,
    { changed, limitsChanged, changes }: {
      changed: string[];
      limitsChanged: boolean;
      changes: JobChange[];
    },
  ): void {
    const { active } = state.jobs;
    this.#unchecked = limitsChanged
      ? Object.keys(active)
      : [...changed, ...this.#unchecked];
    const estimator = this.#estimatorOf(state);
    const context = { limits: this.#limits, quotas: this.#quotas, estimator };
    for (const id of this.#unchecked.splice(0, MAX_FEASIBILITY_CHECKS)) {
      const job = active[id];
      const reason = job?.phase === "waiting"
        ? infeasibleReason(job, context)
        : undefined;
      if (reason !== undefined) {
        changes.push({ type: "refuse", job: id, reason });
      }
    }
  }

  /**
   * Updates limits, quotas and VMs after a change of configuration, of a VM's pool or of the term; returns whether
   * limits or quotas changed.
   */
  #syncConfiguration(state: State, isNewTerm: boolean): boolean {
    if (isNewTerm) {
      this.#leases = new Map();
    }
    if (!isNewTerm && state.revision === this.#revision) {
      return false;
    }
    this.#revision = state.revision;
    this.#limits = poolLimits(state);
    this.#quotas = quotasOf(state);
    this.#vms = new VmCapacities(vmLimits(state), this.#leases);
    const limitsKey = JSON.stringify([[...this.#limits], [...this.#quotas]]);
    const changed = limitsKey !== this.#limitsKey;
    this.#limitsKey = limitsKey;
    return changed;
  }

  /** Operations follow from committed state alone, so they are derived before this pass adds its decisions. */
  #dispatch({ term, now }: PlacementTick): AgentOperation[] {
    const operations: AgentOperation[] = [];
    for (const vm of this.#vms.byName.values()) {
      dispatchVm(vm, { term, now, operations });
    }
    return operations;
  }

  #prune(at: number, changes: JobChange[]): void {
    if (at - this.#prunedAt >= PRUNE_INTERVAL_MS) {
      this.#prunedAt = at;
      changes.push({ type: "prune", before: at - ENDED_JOB_RETENTION_MS });
    }
  }
}

function decisionOf(
  state: State,
  { changes, operations, at }: {
    changes: JobChange[];
    operations: AgentOperation[];
    at: number;
  },
): PlacementDecision {
  if (changes.length === 0) {
    return { operations, urgent: false };
  }
  const base = state.jobs.sequence;
  return {
    command: { kind: "job.step", base, changes, at },
    operations,
    urgent: changes.some((change) => isUrgent(state, change)),
  };
}

/** Whether an urgent job waits for the change to be applied. */
function isUrgent(state: State, change: JobChange): boolean {
  switch (change.type) {
    case "place":
      return state.jobs.active[change.job]?.priority === "urgent";
    case "want":
      return change.cause === "urgent";
    case "end":
      return state.jobs.active[change.job]?.run?.cause === "urgent" ||
        state.jobs.active[change.job]?.priority === "urgent";
    default:
      return false;
  }
}

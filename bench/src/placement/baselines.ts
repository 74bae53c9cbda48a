/**
 * Baselines that place declared sizes first-fit or at random. They reuse the placement's leases and run lifecycle, and
 * replace only its choice of VMs.
 *
 * @module
 */
import {
  type AgentReport,
  groupBy,
  type JobChange,
  Placement,
  type PlacementDecision,
  type PlacementTick,
  type Size,
  type State,
  toSize,
} from "@quetzalcove/core";
import type { Policy } from "./cluster.ts";
import { below, type Random } from "./random.ts";

const MAX_PLACEMENTS_PER_PASS = 512;

/** Chooses one of the VMs with enough free capacity. */
type VmChoice = (
  candidates: readonly FreeCapacity[],
) => FreeCapacity | undefined;

interface FreeCapacity {
  vm: string;
  pool: string;
  size: Size;
}

/** Chooses the first VM with enough free capacity for the declared size. */
export function firstFit(): Policy {
  return new DeclaredSizePolicy((candidates) => candidates[0]);
}

/** Chooses a random VM with enough free capacity for the declared size. */
export function randomFit(random: Random): Policy {
  return new DeclaredSizePolicy((candidates) =>
    candidates[below(random, candidates.length)]
  );
}

class DeclaredSizePolicy implements Policy {
  readonly #placement = new Placement();
  readonly #pick: VmChoice;
  readonly #incarnations = new Map<string, number>();

  constructor(pick: VmChoice) {
    this.#pick = pick;
  }

  report(report: AgentReport, time: { now: number; term: number }): boolean {
    this.#incarnations.set(report.vm, report.incarnation);
    return this.#placement.report(report, time);
  }

  pass(state: State, tick: PlacementTick): PlacementDecision {
    const decision = this.#placement.pass(state, tick);
    const retained = (decision.command?.changes ?? []).filter(
      isLifecycleChange,
    );
    const changes = [...retained, ...this.#place(state)];
    if (changes.length === 0) {
      return { operations: decision.operations, urgent: false };
    }
    const base = state.jobs.sequence;
    return {
      command: { kind: "job.step", base, changes, at: tick.at },
      operations: decision.operations,
      urgent: false,
    };
  }

  #place(state: State): JobChange[] {
    const free = freeCapacityByPool(state);
    const changes: JobChange[] = [];
    const quotaLeft = new Map(state.rules.teams.map((team) => {
      const size = toSize(team);
      subtract(size, state.jobs.held[team.name]);
      return [team.name, size];
    }));
    const exhausted = new Set<string>();
    for (const job of Object.values(state.jobs.active)) {
      if (
        job.phase !== "waiting" || changes.length >= MAX_PLACEMENTS_PER_PASS
      ) {
        continue;
      }
      const size = toSize(job);
      const quota = quotaLeft.get(job.team);
      const key = `${job.pool}/${job.team}/${job.kind}`;
      if (exhausted.has(key) || quota === undefined || !fits(size, quota)) {
        continue;
      }
      const candidates = (free.get(job.pool) ?? [])
        .filter((freeVm) => fits(size, freeVm.size));
      const freeVm = this.#pick(candidates);
      if (freeVm === undefined) {
        exhausted.add(key);
        continue;
      }
      subtract(freeVm.size, size);
      subtract(quota, size);
      const run = `${job.id}#${job.runs + 1}`;
      const { vm } = freeVm;
      const incarnation = this.#incarnations.get(vm) ?? 0;
      const place = { type: "place", job: job.id, run, vm } as const;
      changes.push({ ...place, incarnation, size });
    }
    return changes;
  }
}

function isLifecycleChange(change: JobChange): boolean {
  const isDrain = change.type === "want" && change.cause === "drain";
  return isDrain ||
    ["end", "checkpoint", "refuse", "prune"].includes(change.type);
}

function freeCapacityByPool(state: State): Map<string, FreeCapacity[]> {
  const byVm = new Map<string, FreeCapacity>();
  const servicePools = new Set(
    state.rules.services.map((service) => service.pool),
  );
  for (const vm of state.inventory.vms) {
    const record = state.vms[vm.name];
    if (record?.phase === "serving") {
      const share = servicePools.has(record.pool)
        ? 1 - state.rules.jobs.serviceShare
        : 1;
      const size = toSize({
        cores: vm.cores * share,
        memoryGb: vm.memoryGb * share,
        accelerators: vm.accelerators,
      });
      byVm.set(vm.name, { vm: vm.name, pool: record.pool, size });
    }
  }
  for (const { run } of Object.values(state.jobs.active)) {
    const freeVm = run === undefined ? undefined : byVm.get(run.vm);
    if (freeVm !== undefined) {
      subtract(freeVm.size, run?.size);
    }
  }
  return groupBy(byVm.values(), ({ pool }) => pool);
}

function fits(required: Size, available: Size): boolean {
  return required.millicores <= available.millicores &&
    required.memoryMb <= available.memoryMb &&
    required.accelerators <= available.accelerators;
}

function subtract(from: Size, size: Size | undefined): void {
  from.millicores -= size?.millicores ?? 0;
  from.memoryMb -= size?.memoryMb ?? 0;
  from.accelerators -= size?.accelerators ?? 0;
}

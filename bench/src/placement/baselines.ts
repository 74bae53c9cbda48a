/**
 * Baselines: declared sizes placed first-fit or at random. They share leases and the life of runs with the placement,
 * and replace its choices.
 *
 * @module
 */
import {
  type AgentReport,
  type JobChange,
  type JobDecision,
  Placement,
  type PlacementTick,
  type Size,
  type State,
  toSize,
} from "@quetzalcove/core";
import type { Policy } from "./cluster.ts";
import { below, type Random } from "./random.ts";

const MAX_PLACEMENTS = 512;

/** Picks one of the VMs that have room. */
type Pick = (candidates: readonly Free[]) => Free | undefined;

interface Free {
  vm: string;
  pool: string;
  size: Size;
}

/** The first VM with room for the declared size. */
export function firstFit(): Policy {
  return new Declared((candidates) => candidates[0]);
}

/** A random VM with room for the declared size. */
export function randomFit(random: Random): Policy {
  return new Declared((candidates) =>
    candidates[below(random, candidates.length)]
  );
}

class Declared implements Policy {
  readonly #placement = new Placement();
  readonly #pick: Pick;
  readonly #incarnations = new Map<string, number>();

  constructor(pick: Pick) {
    this.#pick = pick;
  }

  report(report: AgentReport, time: { now: number; term: number }): boolean {
    this.#incarnations.set(report.vm, report.incarnation);
    return this.#placement.report(report, time);
  }

  pass(state: State, tick: PlacementTick): JobDecision {
    const decision = this.#placement.pass(state, tick);
    const kept = (decision.command?.changes ?? []).filter(isLifeCycle);
    const changes = [...kept, ...this.#place(state)];
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
    const free = freeOf(state);
    const changes: JobChange[] = [];
    const left = new Map(state.rules.teams.map((team) => {
      const size = toSize(team);
      take(size, state.jobs.held[team.name]);
      return [team.name, size];
    }));
    const full = new Set<string>();
    for (const job of Object.values(state.jobs.active)) {
      if (job.phase !== "waiting" || changes.length >= MAX_PLACEMENTS) {
        continue;
      }
      const size = toSize(job);
      const quota = left.get(job.team);
      const key = `${job.pool}/${job.team}/${job.kind}`;
      if (full.has(key) || quota === undefined || !fits(size, quota)) {
        continue;
      }
      const candidates = (free.get(job.pool) ?? [])
        .filter((room) => fits(size, room.size));
      const room = this.#pick(candidates);
      if (room === undefined) {
        full.add(key);
        continue;
      }
      take(room.size, size);
      take(quota, size);
      const run = `${job.id}#${job.runs + 1}`;
      const { vm } = room;
      const incarnation = this.#incarnations.get(vm) ?? 0;
      const place = { type: "place", job: job.id, run, vm } as const;
      changes.push({ ...place, incarnation, size });
    }
    return changes;
  }
}

function isLifeCycle(change: JobChange): boolean {
  const drains = change.type === "want" && change.cause === "drain";
  return drains ||
    ["end", "checkpoint", "refuse", "prune"].includes(change.type);
}

function freeOf(state: State): Map<string, Free[]> {
  const byVm = new Map<string, Free>();
  const shared = new Set(state.rules.services.map((service) => service.pool));
  for (const vm of state.inventory.vms) {
    const record = state.vms[vm.name];
    if (record?.phase === "serving") {
      const share = shared.has(record.pool)
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
    const room = run === undefined ? undefined : byVm.get(run.vm);
    if (room !== undefined) {
      take(room.size, run?.size);
    }
  }
  return groupByPool(byVm.values());
}

function groupByPool(rooms: Iterable<Free>): Map<string, Free[]> {
  const groups = new Map<string, Free[]>();
  for (const room of rooms) {
    const group = groups.get(room.pool) ?? [];
    groups.set(room.pool, group);
    group.push(room);
  }
  return groups;
}

function fits(need: Size, room: Size): boolean {
  return need.millicores <= room.millicores &&
    need.memoryMb <= room.memoryMb && need.accelerators <= room.accelerators;
}

function take(from: Size, size: Size | undefined): void {
  from.millicores -= size?.millicores ?? 0;
  from.memoryMb -= size?.memoryMb ?? 0;
  from.accelerators -= size?.accelerators ?? 0;
}

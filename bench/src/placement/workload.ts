/**
 * Jobs of the placement bench. Declared sizes and run times are wrong by a factor of up to ten in either direction.
 *
 * @module
 */
import type { Priority, SubmittedJob } from "@quetzalcove/core";
import { type Fleet, URGENT_TEAM } from "./fleet.ts";
import { below, exponential, type Random, randomFactor } from "./random.ts";
import type { ActualUsage } from "./worker.ts";

const KINDS_PER_TEAM = 4;
const MAX_DECLARED_ERROR = 10;
const MAX_VARIATION = 1.3;
const MEAN_MEMORY_GB = 6;
const MAX_MEMORY_GB = 40;
const MEAN_CORES = 1.5;
const MAX_CORES = 10;
const MEAN_WORK_MS = 150_000;
const MIN_WORK_MS = 15_000;
const MB_PER_GB = 1_024;
const ALWAYS_FAILING_SHARE = 0.01;
const ACCELERATED_KIND_SHARE = 0.5;

interface Kind {
  name: string;
  usage: ActualUsage;
  declaredGb: number;
  declaredCores: number;
  declaredMs: number;
  accelerators: number;
}

/** Generates jobs and keeps their actual usage. */
export class Workload {
  readonly #usages = new Map<string, ActualUsage>();
  readonly #kinds = new Map<string, Kind[]>();
  readonly #fleet: Fleet;
  readonly #random: Random;
  readonly #accelerated: Set<string>;
  #count = 0;

  constructor(fleet: Fleet, random: Random) {
    this.#fleet = fleet;
    this.#random = random;
    this.#accelerated = new Set(
      fleet.inventory.vms.filter((vm) => vm.accelerators > 0)
        .map((vm) => vm.pool),
    );
  }

  /** Returns the actual usage of a job. */
  usageOf(job: string): ActualUsage {
    const usage = this.#usages.get(job);
    if (usage === undefined) {
      throw new Error(`Job "${job}" does not exist in the workload`);
    }
    return usage;
  }

  /** Generates a job of the priority class for a random pool. */
  next(priority: Priority, deadline?: number): SubmittedJob {
    const random = this.#random;
    const pools = this.#fleet.inventory.pools;
    const pool = pools[below(random, pools.length)]?.name ?? "";
    const teams = this.#fleet.teams.get(pool) ?? [];
    const team = priority === "urgent"
      ? URGENT_TEAM
      : teams[below(random, teams.length)] ?? "";
    const kinds = this.#kindsOf(team, pool);
    const kind = kinds[below(random, kinds.length)] as Kind;
    this.#count += 1;
    const id = `job-${this.#count}`;
    this.#usages.set(id, this.#vary(kind.usage));
    return {
      id,
      team,
      kind: kind.name,
      pool,
      priority,
      cores: kind.declaredCores,
      memoryGb: kind.declaredGb,
      accelerators: kind.accelerators,
      runtimeMs: kind.declaredMs,
      deadline,
      restartable: true,
      task: "",
    };
  }

  #vary(usage: ActualUsage): ActualUsage {
    const random = this.#random;
    return {
      memoryMb: Math.round(
        usage.memoryMb * randomFactor(random, MAX_VARIATION),
      ),
      millicores: Math.round(
        usage.millicores * randomFactor(random, MAX_VARIATION),
      ),
      workMs: usage.workMs * randomFactor(random, MAX_VARIATION),
      alwaysFails: random() < ALWAYS_FAILING_SHARE,
    };
  }

  #kindsOf(team: string, pool: string): Kind[] {
    const key = `${team}/${pool}`;
    let kinds = this.#kinds.get(key);
    if (kinds === undefined) {
      kinds = Array.from(
        { length: KINDS_PER_TEAM },
        (_, n) => this.#newKind(`${pool}.${n}`, pool),
      );
      this.#kinds.set(key, kinds);
    }
    return kinds;
  }

  #newKind(name: string, pool: string): Kind {
    const random = this.#random;
    const memoryGb = Math.min(
      MAX_MEMORY_GB,
      0.5 + exponential(random, MEAN_MEMORY_GB),
    );
    const cores = Math.min(MAX_CORES, 0.2 + exponential(random, MEAN_CORES));
    const workMs = MIN_WORK_MS + exponential(random, MEAN_WORK_MS);
    const needsAccelerator = this.#accelerated.has(pool) &&
      random() < ACCELERATED_KIND_SHARE;
    const misdeclare = (value: number, max: number): number =>
      Math.min(max, value * randomFactor(random, MAX_DECLARED_ERROR));
    return {
      name,
      usage: {
        memoryMb: Math.round(memoryGb * MB_PER_GB),
        millicores: Math.round(cores * 1_000),
        workMs,
        alwaysFails: false,
      },
      declaredGb: misdeclare(memoryGb, MAX_MEMORY_GB),
      declaredCores: misdeclare(cores, MAX_CORES),
      declaredMs: Math.round(misdeclare(workMs, Infinity)),
      accelerators: needsAccelerator ? 1 + below(random, 2) : 0,
    };
  }
}

/**
 * Moves VMs between pools as demand rises and falls, and has them maintained.
 *
 * @module
 */
import {
  type ArrivalRates,
  chooseMoves,
  type JobBook,
  type PoolDemand,
  poolDemands,
  type PoolState,
  type Worker,
  type WorkEstimate,
} from "@quetzalcove/core/scheduling";
import { UpkeepTask } from "./upkeep_task.ts";
import { VmDirectory, type VmDirectoryParts } from "./vm_directory.ts";
import type { WorkerSession } from "./worker_session.ts";

/** What the fleet task needs. */
export interface FleetParts extends Omit<VmDirectoryParts, "hasAnsweredSince"> {
  rates: ArrivalRates;
  estimate: WorkEstimate;
  session: (worker: string) => WorkerSession | undefined;
  /** Whether a placement on a worker awaits its commit. */
  isBeingPlaced: (worker: string) => boolean;
}

/** Most moves that may be under way at once: half of what the platform takes in a second. */
const MAX_MOVES = 32;

const MILLI = 1_000;

export class FleetTask {
  readonly #parts: FleetParts;
  readonly #vms: VmDirectory;
  readonly #upkeep: UpkeepTask;
  readonly #idleSince = new Map<string, number>();
  /** When the first job arrived under this leader; before, nothing tells which VMs will be needed. */
  #demandKnownAt = Infinity;

  constructor(parts: FleetParts) {
    this.#parts = parts;
    this.#vms = new VmDirectory({
      ...parts,
      hasAnsweredSince: (worker, at) =>
        parts.session(worker)?.hasAnsweredSince(at) === true,
    });
    this.#upkeep = new UpkeepTask({ ...parts, vms: this.#vms });
  }

  get #book(): JobBook {
    return this.#parts.consensus.state;
  }

  stop(): void {
    this.#vms.stop();
  }

  /** Whether a worker must get no new work, because its VM is about to go. */
  isReserved(worker: Worker): boolean {
    const { vm } = worker;
    return this.#upkeep.isDraining(worker) ||
      (vm !== undefined &&
        (this.#vms.isPending(vm) || this.#vms.isAway(vm) ||
          this.#upkeep.isOrdering(vm)));
  }

  /** Whether a VM is due for upkeep, so that what lasts is better placed elsewhere. */
  isDue(worker: Worker): boolean {
    return this.#upkeep.isDue(worker);
  }

  /** Notes a job that was accepted. */
  noteArrival(now: number): void {
    this.#demandKnownAt = Math.min(this.#demandKnownAt, now);
  }

  /** Looks for what is to be ordered. */
  step(now: number): void {
    this.#followIdleness(now);
    this.#vms.step(now, this.#upkeep.isUnderWay);
    if (this.#vms.isKnown) {
      this.#upkeep.step(now);
      this.#move(now);
    }
  }

  #followIdleness(now: number): void {
    const { workers } = this.#book;
    for (const id of workers.keys()) {
      const isIdle = this.#book.load(id).runs.size === 0;
      if (!isIdle) {
        this.#idleSince.delete(id);
      } else if (!this.#idleSince.has(id)) {
        this.#idleSince.set(id, now);
      }
    }
    for (const id of this.#idleSince.keys()) {
      if (!workers.has(id)) {
        this.#idleSince.delete(id);
      }
    }
  }

  #move(now: number): void {
    const { rates, estimate, log } = this.#parts;
    const demands = poolDemands(this.#book, rates, estimate, now);
    for (const { vm, from, to } of chooseMoves(this.#pools(demands, now))) {
      if (this.#vms.pendingMoves >= MAX_MOVES) {
        return;
      }
      const demand = demands.get(to);
      log.info("vm.moves", {
        vm,
        from,
        to,
        wanted: Math.round(demand?.wanted ?? 0),
        waiting: Math.round(demand?.waiting ?? 0),
      });
      const worker = this.#vms.workerOn(vm);
      const cores = (worker?.capacity.cpuMilli ?? 0) / MILLI ||
        (this.#vms.find(vm)?.cores ?? 0);
      const action = { kind: "move", pool: to } as const;
      const target = { pool: to, cores, workers: this.#vms.workersOn(vm) };
      void this.#vms.order(vm, action, target);
    }
  }

  #pools(demands: ReadonlyMap<string, PoolDemand>, now: number): PoolState[] {
    const pools = new Map<string, PoolState>();
    for (const { name, standby } of this.#book.plan.pools) {
      const demand = demands.get(name);
      if (demand !== undefined) {
        pools.set(name, { name, standby, demand, cores: 0, idle: [] });
      }
    }
    for (const worker of this.#book.workers.values()) {
      const pool = pools.get(worker.pool);
      if (pool !== undefined && !worker.draining && !this.isReserved(worker)) {
        this.#countWorker(pool, worker, now);
      }
    }
    for (const { pool, cores } of this.#vms.absences) {
      const state = pools.get(pool);
      if (state !== undefined) {
        state.cores += cores;
      }
    }
    for (const { vm, pool, state, cores } of this.#vms.listed) {
      const home = pools.get(pool);
      const isOff = home?.standby === true && state === "up" &&
        this.#vms.workerOn(vm) === undefined;
      if (isOff && this.#vms.isChoosable(vm, now)) {
        home.idle.push({ vm, pool, cores, idleMs: Infinity });
      }
    }
    return [...pools.values()];
  }

  #countWorker(
    pool: PoolState,
    { id, vm, capacity }: Worker,
    now: number,
  ): void {
    if (this.#parts.session(id)?.isInContact(now) !== true) {
      return;
    }
    const cores = capacity.cpuMilli / MILLI;
    pool.cores += cores;
    const idleSince = this.#idleSince.get(id);
    const isIdle = idleSince !== undefined && !this.#parts.isBeingPlaced(id);
    if (
      vm !== undefined && isIdle && this.#vms.workerOn(vm)?.id === id &&
      this.#vms.isChoosable(vm, now)
    ) {
      const idleMs = now - Math.max(idleSince, this.#demandKnownAt);
      pool.idle.push({ vm, pool: pool.name, cores, idleMs });
    }
  }
}

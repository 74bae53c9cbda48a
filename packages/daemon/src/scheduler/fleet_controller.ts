/**
 * Moves VMs between pools as demand changes, and runs their maintenance.
 *
 * @module
 */
import type { Fault, Result } from "@quetzalcove/core";
import {
  allocateCores,
  anticipate,
  type ArrivalRates,
  type BatchJobSpec,
  type BusyVm,
  CandidateWorker,
  chooseMoves,
  chooseReclaims,
  CustomerLimits,
  DemandTrend,
  isLate,
  type JobStore,
  neededCores,
  type PoolDemand,
  poolDemands,
  type PoolState,
  type QueuePlan,
  type Worker,
  type WorkEstimate,
} from "@quetzalcove/core/scheduling";
import { MaintenanceController } from "./maintenance_controller.ts";
import { MoveController } from "./move_controller.ts";
import { logPoolUsage, POOL_USAGE_LOG_INTERVAL_MS } from "./pool_usage_log.ts";
import { VmDirectory, type VmDirectoryParts } from "./vm_directory.ts";
import type { WorkerSession } from "./worker_session.ts";

/** Dependencies of the fleet controller. */
export interface FleetControllerParts
  extends
    Omit<VmDirectoryParts, "hasAnsweredSince" | "wasSilent" | "lastSilenceAt"> {
  /** Whether a pool with a backlog gives up busy VMs to pools whose jobs can still meet their objective. */
  reclaimsBusyVms: boolean;
  rates: ArrivalRates;
  estimate: WorkEstimate;
  session: (worker: string) => WorkerSession | undefined;
  sessions: () => Iterable<WorkerSession>;
  /** Whether a placement on a worker is still being committed. */
  hasPendingPlacement: (worker: string) => boolean;
  /** Whether a worker is not paused because runs fail or hang there. */
  isTrusted: (worker: string, now: number) => boolean;
}

/** Maximum number of moves in progress: half of what the platform accepts per second. */
const MAX_PENDING_MOVES = 32;

/**
 * Pause after a decision, as a multiple of its duration, so that decisions take at most a twentieth of one core: they look
 * at every VM, and a VM takes more than a second to move.
 */
const RECONCILE_PAUSE_FACTOR = 20;

/** Interval between decisions on moves where busy VMs are reclaimed, which look at every waiting step. */
const RECLAIM_INTERVAL_MS = 100;

const MILLICORES_PER_CORE = 1_000;

export class FleetController {
  readonly #parts: FleetControllerParts;
  readonly #vms: VmDirectory;
  readonly #maintenance: MaintenanceController;
  readonly #moves: MoveController;
  readonly #trend = new DemandTrend();
  readonly #idleSince = new Map<string, number>();
  /** Busy VMs that get no new runs, so that they can be moved to another pool. */
  #reclaimed: ReadonlySet<string> = new Set();
  #reconcileDueAt = -Infinity;
  #movesDueAt = -Infinity;
  #usageLoggedAt = -Infinity;
  /**
   * When the first job arrived in this leadership term. VMs count as idle only from then on, because demand is unknown
   * before.
   */
  #firstArrivalAt = Infinity;

  constructor(parts: FleetControllerParts) {
    this.#parts = parts;
    this.#vms = new VmDirectory({
      ...parts,
      hasAnsweredSince: (worker, at) =>
        parts.session(worker)?.hasAnsweredSince(at) === true,
      wasSilent: (worker, since, until) =>
        parts.session(worker)?.wasSilent(since, until) === true,
      lastSilenceAt: () => this.#lastSilenceAt(),
    });
    this.#moves = new MoveController({ ...parts, vms: this.#vms });
    this.#maintenance = new MaintenanceController({
      ...parts,
      vms: this.#vms,
      mayMove: (vm) => this.#moves.mayMove(vm),
    });
  }

  get #jobStore(): JobStore {
    return this.#parts.consensus.state;
  }

  /** Refuses a job with tasks that no VM of the fleet can run. */
  checkPlaceable(spec: BatchJobSpec): Result<void, Fault> {
    return this.#vms.checkPlaceable(spec);
  }

  stop(): void {
    this.#vms.stop();
  }

  /** Whether a worker must get no new runs because its VM is about to be moved or taken down. */
  isCordoned(worker: Worker): boolean {
    const { vm } = worker;
    return this.#maintenance.isDraining(worker) ||
      (vm !== undefined &&
        (this.#vms.isAbsent(vm) || this.#isBeingOrdered(vm) ||
          this.#reclaimed.has(vm)));
  }

  /**
   * Whether the VM of a worker may be moved or taken down by an order that got no answer, or that an earlier leader sent.
   * While the platform is silent that cannot be decided, and the VM still runs what costs little to run again.
   */
  mayEnd({ vm }: Worker): boolean {
    return vm !== undefined && this.#mayBeOrdered(vm);
  }

  /** Whether the VM of a worker is being moved or taken down, or may be. */
  #isLeaving(worker: Worker): boolean {
    const { vm } = worker;
    return this.#maintenance.isDraining(worker) ||
      (vm !== undefined &&
        (this.#vms.isAbsent(vm) || this.#mayBeOrdered(vm)));
  }

  /** Whether this leader records or sends an order for a VM. */
  #isBeingOrdered(vm: string): boolean {
    return this.#vms.hasPendingOrder(vm) || this.#moves.isStarting(vm) ||
      this.#maintenance.isStarting(vm);
  }

  /** Whether an order for a VM may still be carried out. */
  #mayBeOrdered(vm: string): boolean {
    return this.#vms.hasPendingOrder(vm) || this.#moves.mayMove(vm) ||
      this.#maintenance.mayGoDown(vm);
  }

  /** Whether the VM of a worker is due for maintenance, so that long-running tasks are better placed elsewhere. */
  isMaintenanceDue(worker: Worker): boolean {
    return this.#maintenance.isMaintenanceDue(worker);
  }

  #lastSilenceAt(): number | undefined {
    let last: number | undefined;
    for (const { silentSince, worker } of this.#parts.sessions()) {
      if (
        silentSince !== undefined && silentSince > (last ?? -Infinity) &&
        this.#jobStore.load(worker.id).runs.size > 0
      ) {
        last = silentSince;
      }
    }
    return last;
  }

  /** Records that a job was accepted. */
  recordArrival(now: number): void {
    this.#firstArrivalAt = Math.min(this.#firstArrivalAt, now);
  }

  /** If that is due, refreshes the VM list as needed and orders maintenance and moves. Called in each pass. */
  reconcile(now: number): void {
    if (now < this.#reconcileDueAt) {
      this.#maintenance.proceed(now);
      return;
    }
    this.#updateIdleTimes(now);
    const expectsChanges = this.#maintenance.hasOpenWaves ||
      this.#jobStore.moves.size > 0;
    this.#vms.refresh(now, expectsChanges);
    if (this.#vms.isLoaded) {
      this.#maintenance.reconcile(now);
      this.#moves.reconcile(now);
      if (now >= this.#movesDueAt) {
        this.#movesDueAt = this.#parts.reclaimsBusyVms
          ? now + RECLAIM_INTERVAL_MS
          : now;
        this.#startMoves(now);
      }
      this.#logUsage(now);
    }
    const end = this.#parts.clock.monotonic();
    this.#reconcileDueAt = end + RECONCILE_PAUSE_FACTOR * (end - now);
  }

  #logUsage(now: number): void {
    if (now - this.#usageLoggedAt >= POOL_USAGE_LOG_INTERVAL_MS) {
      this.#usageLoggedAt = now;
      logPoolUsage({
        jobStore: this.#jobStore,
        absences: this.#vms.absences,
        isCordoned: (worker) => this.isCordoned(worker),
      }, this.#parts.log);
    }
  }

  #updateIdleTimes(now: number): void {
    const { workers } = this.#jobStore;
    for (const id of workers.keys()) {
      const isIdle = this.#jobStore.load(id).runs.size === 0;
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

  #startMoves(now: number): void {
    const pools = this.#pools(this.#demands(now), now);
    if (this.#parts.reclaimsBusyVms) {
      allocate(pools);
    }
    const moves = chooseMoves(pools);
    if (this.#parts.reclaimsBusyVms) {
      this.#updateReclaims(pools);
    }
    const room = Math.max(0, MAX_PENDING_MOVES - this.#moves.pending.length);
    const requests = moves.slice(0, room).map(({ vm, from, to }) => {
      this.#logMove(vm, from, to, pools);
      return { vm, pool: to };
    });
    if (requests.length > 0) {
      void this.#moves.start(requests);
    }
  }

  #demands(now: number): Map<string, PoolDemand> {
    const { rates, estimate, clock, reclaimsBusyVms } = this.#parts;
    const wallNow = clock.wall();
    const { plan, customerUsage } = this.#jobStore;
    const caps = new CustomerLimits(plan.customers, customerUsage);
    const demands = poolDemands(this.#jobStore, rates, estimate, now, {
      // Only the division of the fleet's cores needs it, and it costs two critical paths for each step.
      isUrgent: (step) =>
        reclaimsBusyVms &&
        (step.spec.lasting || !isLate(step, estimate, wallNow)),
      startable: (step) => {
        const limit = caps.of(step.job.customer);
        const count = limit?.startable(step.spec, step.indices.size) ??
          step.indices.size;
        limit?.addPlanned(step.spec, count);
        return count;
      },
      capCores: (customer) => capCores(plan, customer),
    });
    anticipate(demands, this.#trend, now);
    return demands;
  }

  #logMove(
    vm: string,
    from: string,
    to: string,
    pools: readonly PoolState[],
  ): void {
    const target = pools.find(({ name }) => name === to);
    this.#parts.log.info("vm.moves", {
      vm,
      from,
      to,
      wanted: Math.round(target?.demand.wanted ?? 0),
      waiting: Math.round(target?.demand.waiting ?? 0),
    });
  }

  #updateReclaims(pools: readonly PoolState[]): void {
    const before = this.#reclaimed;
    this.#reclaimed = chooseReclaims(pools, () => this.#busyVms());
    const added = [...this.#reclaimed].filter((vm) => !before.has(vm)).length;
    if (added > 0) {
      this.#parts.log.info("vms.reclaimed", {
        added,
        total: this.#reclaimed.size,
        allocated: pools.filter(({ standby }) => !standby).map((pool) =>
          `${pool.name}:${Math.round(pool.allocated ?? 0)}`
        ).join(","),
      });
    }
  }

  /** VMs on which all runs end by themselves. */
  #busyVms(): BusyVm[] {
    const busyVms: BusyVm[] = [];
    for (const worker of this.#jobStore.workers.values()) {
      const { id, vm, pool, capacity, draining } = worker;
      const { runs, reserved } = this.#jobStore.load(id);
      if (
        vm !== undefined && !draining && runs.size > 0 &&
        !this.#isLeaving(worker) && this.#vms.workerOn(vm)?.id === id &&
        [...runs.values()].every((run) =>
          this.#jobStore.stepOf(run)?.lasting === false
        )
      ) {
        busyVms.push({
          vm,
          pool,
          cores: capacity.cpuMilli / MILLICORES_PER_CORE,
          reservedCores: reserved.cpuMilli / MILLICORES_PER_CORE,
          isReclaimed: this.#reclaimed.has(vm),
        });
      }
    }
    return busyVms;
  }

  #pools(demands: ReadonlyMap<string, PoolDemand>, now: number): PoolState[] {
    const pools = new Map<string, PoolState>();
    for (const { name, standby } of this.#jobStore.plan.pools) {
      const demand = demands.get(name);
      if (demand !== undefined) {
        pools.set(name, {
          name,
          standby,
          demand,
          cores: 0,
          vms: 0,
          idle: [],
        });
      }
    }
    for (const worker of this.#jobStore.workers.values()) {
      const pool = pools.get(worker.pool);
      if (pool !== undefined && !worker.draining && !this.#isLeaving(worker)) {
        this.#addWorker(pool, worker, now);
      }
    }
    for (const { pool, cores } of this.#vms.absences) {
      const state = pools.get(pool);
      if (state !== undefined) {
        state.cores += cores;
        state.vms += 1;
      }
    }
    for (const { vm, pool, cores } of this.#moves.pending) {
      const state = pools.get(pool);
      if (state !== undefined && !this.#vms.isAbsent(vm)) {
        state.cores += cores;
        state.vms += 1;
      }
    }
    for (const { vm, pool, state, cores } of this.#vms.listed) {
      const homePool = pools.get(pool);
      const isIdleStandby = homePool?.standby === true && state === "up" &&
        this.#vms.workerOn(vm) === undefined;
      if (
        isIdleStandby && this.#vms.isEligible(vm, now) &&
        !this.#mayBeOrdered(vm)
      ) {
        homePool.idle.push({ vm, pool, cores, idleMs: Infinity });
      }
    }
    return [...pools.values()];
  }

  /** Whether a worker is idle only because it is paused, although a step waits that it could take. */
  #isAwaited(worker: Worker, now: number): boolean {
    const { id, pool } = worker;
    if (this.#parts.isTrusted(id, now)) {
      return false;
    }
    const candidate = new CandidateWorker(worker, this.#jobStore.load(id));
    return [...this.#jobStore.waiting.values()].some((step) =>
      step.job.pool === pool && candidate.acceptsWhenIdle(step)
    );
  }

  #addWorker(pool: PoolState, worker: Worker, now: number): void {
    const { id, vm, capacity } = worker;
    if (this.#parts.session(id)?.isInContact(now) !== true) {
      return;
    }
    const cores = capacity.cpuMilli / MILLICORES_PER_CORE;
    pool.cores += cores;
    pool.vms += 1;
    const idleSince = this.#idleSince.get(id);
    const isIdle = idleSince !== undefined &&
      !this.#parts.hasPendingPlacement(id) &&
      !this.#isAwaited(worker, now);
    if (
      vm !== undefined && isIdle && this.#vms.workerOn(vm)?.id === id &&
      this.#vms.isEligible(vm, now)
    ) {
      const idleMs = now - Math.max(idleSince, this.#firstArrivalAt);
      pool.idle.push({ vm, pool: pool.name, cores, idleMs });
    }
  }
}

/** Cores that a customer may use; Infinity without a limit. */
function capCores(plan: QueuePlan, customer: string | undefined): number {
  const cap = plan.customers.find(({ name }) => name === customer)?.cap;
  return cap === undefined || cap.cpuMilli === 0
    ? Infinity
    : cap.cpuMilli / MILLICORES_PER_CORE;
}

/** Divides the cores of all pools, those in standby included, by what the pools can use. */
function allocate(pools: readonly PoolState[]): void {
  const cores = pools.reduce(
    (total, { standby, cores: held, idle }) =>
      total + (standby ? idle.reduce((sum, vm) => sum + vm.cores, 0) : held),
    0,
  );
  const active = pools.filter(({ standby }) => !standby);
  const allocated = allocateCores(
    active.map(({ name, demand }) => ({
      pool: name,
      urgent: neededCores(demand.urgent),
      total: neededCores(demand.wanted),
    })),
    cores,
  );
  active.forEach((pool) => pool.allocated = allocated.get(pool.name));
}

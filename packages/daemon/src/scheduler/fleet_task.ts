/**
 * Moves VMs between pools as demand rises and falls, and takes them down for upkeep.
 *
 * @module
 */
import {
  type ArrivalRates,
  chooseMoves,
  type DueVm,
  type IdleVm,
  type JobBook,
  planUpkeep,
  type PoolDemand,
  poolDemands,
  type PoolState,
  type RunRecord,
  taskName,
  type WaveRecord,
  type Worker,
  type WorkEstimate,
} from "@quetzalcove/core/scheduling";
import type { BookConsensus } from "./book_machine.ts";
import type { FleetCalls, ListedVm } from "./ports.ts";
import { type VmAction, type VmOrderParts, VmOrders } from "./vm_orders.ts";
import type { WorkerSession } from "./worker_session.ts";

/** What the fleet task needs. */
export interface FleetParts extends VmOrderParts {
  calls: FleetCalls;
  consensus: BookConsensus;
  rates: ArrivalRates;
  estimate: WorkEstimate;
  session: (worker: string) => WorkerSession | undefined;
  onChange: () => void;
}

/** Age at which the list of VMs is read again, in milliseconds: when something is expected of it, and otherwise. */
const EXPECTING_LIST_MS = 1_500;
const IDLE_LIST_MS = 15_000;

/** Pause before a VM whose order was refused is chosen again, in milliseconds. */
const REFUSED_PAUSE_MS = 2_000;

/** Most orders that may be under way at once. */
const MAX_ORDERS = 16;

const MILLI = 1_000;

/** A VM that left its pool or went down by our order. */
interface Absence {
  /** Pool to which it comes back, and the cores that it brings. */
  pool: string;
  cores: number;
  /** Worker that it had, which may still be in the book for a moment. */
  worker: string | undefined;
  at: number;
}

export class FleetTask {
  readonly #parts: FleetParts;
  readonly #orders: VmOrders;
  #listed = new Map<string, ListedVm>();
  #listedAt = -Infinity;
  #isListing = false;
  /** VMs that have not come back. */
  readonly #away = new Map<string, Absence>();
  /** VMs that are not to be chosen before a time. */
  readonly #pausedUntil = new Map<string, number>();
  readonly #idleSince = new Map<string, number>();
  /** When the first job arrived under this leader; before, nothing tells which VMs will be needed. */
  #demandKnownAt = Infinity;
  /** Workers that are being emptied for upkeep. */
  readonly #draining = new Set<string>();
  /** Runs that were stopped to empty a worker. */
  readonly #withdrawn = new Set<RunRecord>();
  /** Waves and VMs whose upkeep is being ordered. */
  readonly #ordering = new Map<string, number>();
  /** Upkeep that this leader knows to have been carried out. */
  readonly #maintained = new Set<string>();

  constructor(parts: FleetParts) {
    this.#parts = parts;
    this.#orders = new VmOrders(parts);
  }

  get #book(): JobBook {
    return this.#parts.consensus.state;
  }

  stop(): void {
    this.#orders.stop();
  }

  /** Whether a worker must get no new work, because its VM is about to go. */
  isReserved({ id, vm }: Worker): boolean {
    return this.#draining.has(id) ||
      (vm !== undefined && this.#orders.isPending(vm));
  }

  /** Whether a VM is due for upkeep, so that what lasts is better placed elsewhere. */
  isDue({ vm }: Worker): boolean {
    for (const { wave, done } of this.#book.waves.values()) {
      if (vm !== undefined && wave.vms.includes(vm) && !done.includes(vm)) {
        return true;
      }
    }
    return false;
  }

  /** Notes a job that was accepted. */
  noteArrival(now: number): void {
    this.#demandKnownAt = Math.min(this.#demandKnownAt, now);
  }

  /** Looks for what is to be ordered. */
  step(now: number): void {
    this.#followIdleness(now);
    this.#followReturns(now);
    this.#readListWhenDue(now);
    if (this.#listedAt === -Infinity) {
      return;
    }
    this.#stepWaves(now);
    this.#evacuate(now);
    this.#move(now);
  }

  #followIdleness(now: number): void {
    const { workers } = this.#book;
    for (const worker of workers.values()) {
      const isIdle = this.#book.load(worker.id).runs.size === 0;
      if (!isIdle) {
        this.#idleSince.delete(worker.id);
      } else if (!this.#idleSince.has(worker.id)) {
        this.#idleSince.set(worker.id, now);
      }
    }
    for (const id of this.#idleSince.keys()) {
      if (!workers.has(id)) {
        this.#idleSince.delete(id);
      }
    }
  }

  /** A VM is back when a worker on it has reported, or when the list shows it up in a pool without workers. */
  #followReturns(now: number): void {
    for (const [vm, { at, worker }] of this.#away) {
      const listed = this.#listed.get(vm);
      const current = this.#workerOn(vm);
      const isBack = (current !== undefined && current.id !== worker) ||
        (current === undefined && this.#listedAt > at &&
          listed?.state === "up" &&
          this.#isStandby(listed.pool));
      if (isBack) {
        this.#away.delete(vm);
        this.#pausedUntil.set(vm, now);
        this.#parts.onChange();
      }
    }
  }

  #readListWhenDue(now: number): void {
    const isExpecting = this.#away.size > 0 ||
      [...this.#book.waves.values()].some((record) => !isComplete(record));
    const age = now - this.#listedAt;
    const dueAge = isExpecting ? EXPECTING_LIST_MS : IDLE_LIST_MS;
    if (!this.#isListing && age >= dueAge && this.#parts.hasAuthority()) {
      void this.#readList();
    }
  }

  async #readList(): Promise<void> {
    const { calls, clock, log } = this.#parts;
    this.#isListing = true;
    const askedAt = clock.monotonic();
    const vms = await calls.list();
    this.#isListing = false;
    if (vms === undefined) {
      log.warn("fleet.list_failed", {
        age: Math.round(askedAt - this.#listedAt),
      });
      return;
    }
    this.#listed = new Map(vms.map((vm) => [vm.vm, vm]));
    this.#listedAt = askedAt;
    this.#parts.onChange();
  }

  #stepWaves(now: number): void {
    for (const record of this.#book.waves.values()) {
      if (!isComplete(record)) {
        this.#closeUpkeeps(record);
        this.#openUpkeeps(record, now);
      }
    }
  }

  /** Notes upkeeps that have ended, and repeats orders that an earlier leader may have sent. */
  #closeUpkeeps({ wave, down }: WaveRecord): void {
    for (const { vm, worker } of down) {
      if (this.#ordering.has(vm)) {
        continue;
      }
      const successor = this.#workerOn(vm);
      const isBack = successor !== undefined && successor.id !== worker;
      const isKnown = this.#maintained.has(`${wave.id} ${vm}`);
      if (isBack || (isKnown && !this.#away.has(vm))) {
        void this.#note(wave.id, vm, "done");
      } else if (!isKnown) {
        void this.#maintain(wave.id, vm, worker);
      }
    }
  }

  #openUpkeeps({ wave, down, done }: WaveRecord, now: number): void {
    const startedMs = this.#parts.clock.wall() - wave.startedAtMs;
    const busyPools = new Set(
      Array.from(this.#book.waiting.values(), ({ job }) => job.pool),
    );
    const ordering = [...this.#ordering].flatMap(([vm, id]) =>
      id === wave.id ? [vm] : []
    );
    const downVms = new Set([...down.map(({ vm }) => vm), ...ordering]);
    const due: DueVm[] = [];
    for (const vm of wave.vms) {
      const isOpen = !done.includes(vm) && !downVms.has(vm);
      if (isOpen && !this.#listed.has(vm) && this.#workerOn(vm) === undefined) {
        void this.#note(wave.id, vm, "gone");
      } else if (isOpen) {
        due.push(this.#dueVm(vm, busyPools, now));
      }
    }
    const plan = planUpkeep({
      maxDown: wave.maxDown,
      down: downVms.size,
      leftMs: wave.durationMs - startedMs,
      due,
    });
    this.#draining.clear();
    for (const vm of plan.drain) {
      const worker = this.#workerOn(vm);
      if (worker !== undefined) {
        this.#draining.add(worker.id);
      }
    }
    for (const vm of plan.takeDown) {
      void this.#maintain(wave.id, vm, this.#workerOn(vm)?.id);
    }
  }

  #dueVm(vm: string, busyPools: ReadonlySet<string>, now: number): DueVm {
    const worker = this.#workerOn(vm);
    const listed = this.#listed.get(vm);
    const runs = worker === undefined
      ? []
      : [...this.#book.load(worker.id).runs.values()];
    const isUsable = worker !== undefined && !worker.draining &&
      this.#parts.session(worker.id)?.isInContact(now) === true;
    const isOff = worker === undefined && listed?.state === "up" &&
      this.#isStandby(listed.pool);
    const isFree = !this.#orders.isPending(vm) && !this.#away.has(vm) &&
      now >= (this.#pausedUntil.get(vm) ?? 0);
    return {
      vm,
      runs: runs.length,
      lastingRuns: runs.filter((run) => this.#book.stepOf(run)?.lasting).length,
      isPoolBusy: worker !== undefined && busyPools.has(worker.pool),
      isDraining: worker !== undefined && this.#draining.has(worker.id),
      isUp: isFree && (isUsable || isOff),
    };
  }

  /** Stops what lasts on workers that are being emptied, as far as its steps can spare it. */
  #evacuate(now: number): void {
    for (const run of this.#withdrawn) {
      if (this.#book.findRun(run) !== run) {
        this.#withdrawn.delete(run);
      }
    }
    for (const id of this.#draining) {
      for (const run of this.#book.load(id).runs.values()) {
        const spec = this.#book.stepOf(run);
        if (
          spec?.lasting === true && !this.#withdrawn.has(run) &&
          this.#awayTasks(run, now) < (spec.maxUnavailable ?? 0)
        ) {
          this.#withdrawn.add(run);
          this.#parts.session(id)?.withdraw(run);
          this.#parts.log.info("run.evacuated", { task: run.task, worker: id });
        }
      }
    }
  }

  /** Tasks of a run's step that are not at work, as far as is known now. */
  #awayTasks({ job, round, step }: RunRecord, now: number): number {
    const tasks = this.#book.jobs.get(job)?.rounds[round]?.tasks[step] ?? [];
    return tasks.filter((task, index) => {
      const name = taskName({ job, round, step, index });
      const run = task.worker === undefined
        ? undefined
        : this.#book.load(task.worker).runs.get(name);
      const session = run && this.#parts.session(run.worker);
      return run === undefined || this.#withdrawn.has(run) ||
        session?.isAtWork(run, now) !== true;
    }).length;
  }

  #move(now: number): void {
    const { consensus, rates, estimate, log } = this.#parts;
    const demands = poolDemands(consensus.state, rates, estimate, now);
    for (const { vm, from, to } of chooseMoves(this.#pools(demands, now))) {
      if (this.#orders.pending >= MAX_ORDERS) {
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
      void this.#moveVm(vm, to);
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
        this.#count(pool, worker, now);
      }
    }
    for (const { pool, cores } of this.#away.values()) {
      const state = pools.get(pool);
      if (state !== undefined) {
        state.cores += cores;
      }
    }
    for (const { vm, pool, state, cores } of this.#listed.values()) {
      const home = pools.get(pool);
      const isFree = state === "up" && this.#isChoosable(vm, now) &&
        this.#workerOn(vm) === undefined;
      if (home?.standby === true && isFree) {
        home.idle.push({ vm, pool, cores, idleMs: Infinity });
      }
    }
    return [...pools.values()];
  }

  #count(pool: PoolState, worker: Worker, now: number): void {
    const session = this.#parts.session(worker.id);
    if (session?.isInContact(now) !== true) {
      return;
    }
    const cores = worker.capacity.cpuMilli / MILLI;
    pool.cores += cores;
    const idleSince = this.#idleSince.get(worker.id);
    const { vm } = worker;
    if (
      vm !== undefined && idleSince !== undefined && this.#isChoosable(vm, now)
    ) {
      const idle: IdleVm = {
        vm,
        pool: pool.name,
        cores,
        idleMs: now - Math.max(idleSince, this.#demandKnownAt),
      };
      pool.idle.push(idle);
    }
  }

  #isChoosable(vm: string, now: number): boolean {
    return !this.#orders.isPending(vm) && !this.#away.has(vm) &&
      now >= (this.#pausedUntil.get(vm) ?? 0);
  }

  async #moveVm(vm: string, pool: string): Promise<void> {
    const worker = this.#workerOn(vm);
    const cores = (worker?.capacity.cpuMilli ?? 0) / MILLI ||
      (this.#listed.get(vm)?.cores ?? 0);
    await this.#order(vm, { kind: "move", pool }, worker?.id, { pool, cores });
  }

  async #maintain(
    wave: number,
    vm: string,
    worker: string | undefined,
  ): Promise<void> {
    const { clock } = this.#parts;
    this.#ordering.set(vm, wave);
    this.#pausedUntil.set(vm, clock.monotonic() + REFUSED_PAUSE_MS);
    // The limit of the wave must hold under the next leader as well, so the log comes first.
    if (await this.#note(wave, vm, "begun", worker)) {
      await this.#takeDown(wave, vm, worker);
    }
    this.#ordering.delete(vm);
  }

  async #takeDown(
    wave: number,
    vm: string,
    worker: string | undefined,
  ): Promise<void> {
    const pool = this.#workerOn(vm)?.pool ?? this.#listed.get(vm)?.pool ?? "";
    const action: VmAction = { kind: "upkeep", wave };
    const answer = await this.#order(vm, action, worker, { pool, cores: 0 });
    if (answer === "done") {
      this.#maintained.add(`${wave} ${vm}`);
    } else if (answer !== undefined) {
      await this.#note(wave, vm, "refused");
    }
  }

  /** Sends an order; when it is carried out, everything on the VM has ended. */
  async #order(
    vm: string,
    action: VmAction,
    worker: string | undefined,
    target: { pool: string; cores: number },
  ): Promise<string | undefined> {
    const { clock, consensus } = this.#parts;
    const answer = await this.#orders.order(vm, action);
    const now = clock.monotonic();
    if (answer === "done") {
      this.#away.set(vm, { ...target, worker, at: now });
      if (worker !== undefined) {
        await consensus.propose({
          kind: "lose",
          workers: [worker],
          atMs: clock.wall(),
        });
      }
    } else if (answer !== undefined) {
      this.#pausedUntil.set(vm, now + REFUSED_PAUSE_MS);
    }
    return answer;
  }

  async #note(
    wave: number,
    vm: string,
    phase: "begun" | "refused" | "done" | "gone",
    worker?: string,
  ): Promise<boolean> {
    const { consensus, log, onChange } = this.#parts;
    const noted = await consensus.propose({
      kind: "upkeep",
      wave,
      vm,
      phase,
      worker,
    });
    log.info("upkeep.noted", { wave, vm, phase, ok: noted.ok });
    onChange();
    return noted.ok;
  }

  #workerOn(vm: string): Worker | undefined {
    for (const worker of this.#book.workers.values()) {
      if (worker.vm === vm) {
        return worker;
      }
    }
    return undefined;
  }

  #isStandby(pool: string): boolean {
    return this.#book.plan.pools.some(({ name, standby }) =>
      name === pool && standby
    );
  }
}

function isComplete({ wave, done }: WaveRecord): boolean {
  return done.length >= wave.vms.length;
}

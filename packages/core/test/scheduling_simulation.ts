/**
 * Simulation of queues with successive bursts of demand. It runs the code of core for placement, pool demand and moves
 * of VMs. Workers are timers; there are no processes and no network.
 *
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  anticipate,
  ArrivalRates,
  CandidateWorker,
  chooseMoves,
  DemandTrend,
  type JobRecord,
  JobStore,
  type Move,
  placeStep,
  type PoolDemand,
  poolDemands,
  type PoolState,
  type Queue,
  type RunKey,
  runPlacementPass,
  sortByUrgency,
  type StepSpec,
  type Worker,
  type WorkerSpeed,
  WorkEstimate,
} from "@quetzalcove/core/scheduling";
import { queue, step, worker } from "./scheduling_fixture.ts";

/** A queue and its load. */
export interface QueueLoad {
  pool: string;
  /** Initial number of VMs in its pool. */
  vms: number;
  /** Jobs per second at peak demand. */
  jobsPerSecond: number;
  /** Number of steps, run in sequence, and number of tasks per step. */
  steps: number;
  tasks: number;
  cores: number;
  /** Mean duration of a task, in milliseconds. */
  taskMs: number;
}

export interface SimulationConfig {
  queues: readonly QueueLoad[];
  standbyVms: number;
  coresOfVm: number;
  /** Duration of each queue's burst, in milliseconds; the bursts follow one another. */
  peakMs: number;
  seed: number;
  /** Policy for moves of VMs; that of the core by default. */
  choose?: (pools: readonly PoolState[]) => Move[];
  /** Estimate of task durations; that of the core by default. */
  estimate?: WorkEstimate;
  /** Trend of demand; that of the core by default. */
  trend?: DemandTrend;
  /** How many times longer tasks take on a VM; 1 by default. */
  slowFactor?: (vm: string, now: number) => number;
  /** Estimate of workers' speeds; none by default. */
  speed?: WorkerSpeed;
  /** Mean ratio of submitters' guesses to durations; 1 by default. */
  guessFactor?: number;
}

export interface SimulationResult {
  /** Share of jobs that met their objective, weighted by their work. */
  inTime: number;
  /** The same for the jobs submitted in the worst window of two seconds. */
  worstWindow: number;
  /** VM-seconds used outside the standby pool, relative to those that the tasks alone would need. */
  vmSecondsForWork: number;
  moves: number;
  unfinished: number;
}

const TICK_MS = 20;
const MOVE_MS = 1_500;
/** Interval of the progress that workers list. */
const PROGRESS_MS = 200;
const WINDOW_MS = 2_000;
const STANDBY = "spare";
/** Share of a burst in which demand rises, and share in which it falls. */
const RAMP_SHARE = 1 / 3;
/** Standard deviations of logarithms: durations across jobs, within a job, and guesses relative to durations. */
const JOB_SPREAD = 0.45;
const TASK_SPREAD = 0.15;
const GUESS_SPREAD = 0.5;
/** Time after the last burst within which all jobs should have ended. */
const COOL_DOWN_MS = 12_000;

interface Vm {
  vm: string;
  pool: string;
  incarnation: number;
  worker: Worker | undefined;
  readyAt: number;
}

interface Arrival {
  at: number;
  /** Actual mean duration of its tasks, and the submitter's guess, in milliseconds. */
  taskMs: number;
  guessMs: number;
  /** Time by which the job should be complete, in milliseconds. */
  objective: number;
  work: number;
  isInTime: boolean | undefined;
}

export function simulate(config: SimulationConfig): SimulationResult {
  return new Simulation(config).run();
}

class Simulation {
  readonly #config: SimulationConfig;
  readonly #random;
  readonly #jobStore = new JobStore();
  readonly #rates = new ArrivalRates(-Infinity);
  readonly #estimate: WorkEstimate;
  readonly #trend: DemandTrend;
  readonly #vms = new Map<string, Vm>();
  readonly #endsByTime = new Map<number, { run: RunKey; tookMs: number }[]>();
  readonly #running = new Map<
    string,
    { run: RunKey; tookMs: number; startedAt: number }
  >();
  readonly #idleSince = new Map<string, number>();
  readonly #arrivals = new Map<string, Arrival>();
  #vmSeconds = 0;
  #moves = 0;
  #workSeconds = 0;

  constructor(config: SimulationConfig) {
    this.#config = config;
    this.#estimate = config.estimate ?? new WorkEstimate();
    this.#trend = config.trend ?? new DemandTrend();
    const generator = xoroshiro128plus(config.seed);
    this.#random = () => uniformFloat64(generator);
    this.#jobStore.apply({
      kind: "plan",
      plan: {
        version: 1,
        queues: config.queues.map(({ pool }): Queue =>
          queue({ name: pool, pool })
        ),
        pools: [
          ...config.queues.map(({ pool }) => ({
            name: pool,
            enforcesCapacity: true,
            standby: false,
          })),
          { name: STANDBY, enforcesCapacity: true, standby: true },
        ],
        customers: [],
        source: "{}",
      },
    });
    config.queues.forEach(({ pool, vms }) => this.#addVms(pool, vms));
    this.#addVms(STANDBY, config.standbyVms);
  }

  run(): SimulationResult {
    const { queues, peakMs: burstMs } = this.#config;
    const lengthMs = queues.length * burstMs + COOL_DOWN_MS;
    for (let now = 0; now < lengthMs; now += TICK_MS) {
      this.#submitArrivals(now);
      this.#endRuns(now);
      this.#recordProgress(now);
      this.#startWorkers(now);
      this.#moveVms(now);
      this.#placeTasks(now);
      this.#countVmSeconds();
    }
    return this.#result();
  }

  #addVms(pool: string, count: number): void {
    for (let i = 0; i < count; i++) {
      const vm = `${pool}-${i}`;
      this.#vms.set(vm, {
        vm,
        pool,
        incarnation: 0,
        worker: undefined,
        readyAt: 0,
      });
    }
  }

  #submitArrivals(now: number): void {
    this.#config.queues.forEach((load, index) => {
      const expected = load.jobsPerSecond * TICK_MS / 1_000 *
        demandShare((now - index * this.#config.peakMs) / this.#config.peakMs);
      for (let left = expected; left > 0; left -= 1) {
        if (this.#random() < Math.min(1, left)) {
          this.#submit(load, now);
        }
      }
    });
  }

  #submit(load: QueueLoad, now: number): void {
    const id = `j${this.#arrivals.size}`;
    const taskMs = load.taskMs * this.#logNormal(JOB_SPREAD);
    const { guessFactor = 1 } = this.#config;
    const guessMs = guessFactor * taskMs * this.#logNormal(GUESS_SPREAD);
    const steps = Array.from(
      { length: load.steps },
      (_, i): StepSpec =>
        step({
          taskCount: load.tasks,
          demand: { cpuMilli: 1_000 * load.cores, memoryMb: 1, gpus: 0 },
          estimatedMs: guessMs,
          dependsOn: i === 0 ? [] : [i - 1],
        }),
    );
    const spec = { text: "work", steps, repeat: undefined };
    const { pool } = load;
    this.#jobStore.apply({
      kind: "submit",
      jobs: [{ id, queue: pool, pool, spec }],
      atMs: now,
    });
    const job = this.#jobStore.jobs.get(id);
    if (job === undefined) {
      throw new Error(`Job "${id}" was not stored`);
    }
    this.#rates.record(pool, () => this.#estimate.jobCoreMs(job), now);
    const { slackFactor, targetLatencyMs } = job.terms;
    const work = load.steps * load.tasks * load.cores * taskMs / 1_000;
    this.#workSeconds += work;
    this.#arrivals.set(id, {
      at: now,
      taskMs,
      guessMs,
      objective: now + slackFactor * load.steps * taskMs + targetLatencyMs,
      work,
      isInTime: undefined,
    });
  }

  #endRuns(now: number): void {
    const ends = this.#endsByTime.get(now) ?? [];
    this.#endsByTime.delete(now);
    if (ends.length === 0) {
      return;
    }
    this.#jobStore.apply({
      kind: "settle",
      ends: ends.map(({ run }) => ({ ...run, how: "done", checkpoint: "" })),
      dropped: [],
      atMs: now,
    });
    for (const { run, tookMs } of ends) {
      this.#running.delete(run.task);
      const job = this.#jobStore.jobs.get(run.task.split(".")[0] ?? "");
      const arrival = this.#arrivals.get(job?.id ?? "");
      if (job !== undefined && arrival !== undefined) {
        this.#observe(job, run, arrival.guessMs, tookMs, now);
      }
    }
    for (const job of this.#jobStore.justEnded.splice(0)) {
      const arrival = this.#arrivals.get(job.id);
      if (arrival !== undefined) {
        arrival.isInTime = now <= arrival.objective;
      }
    }
  }

  /** Records the progress of the runs that have run for half of their expected duration. */
  #recordProgress(now: number): void {
    const { speed } = this.#config;
    if (speed === undefined || now % PROGRESS_MS !== 0) {
      return;
    }
    for (const { run, tookMs, startedAt } of this.#running.values()) {
      const id = run.task.split(".")[0] ?? "";
      const job = this.#jobStore.jobs.get(id);
      const guessMs = this.#arrivals.get(id)?.guessMs ?? 0;
      const expectedMs = this.#estimate.taskMs(job?.queue ?? "", guessMs);
      const isTelling = now - startedAt >= Math.max(300, expectedMs / 2);
      if (job !== undefined && isTelling) {
        const { worker: on, task, run: number } = run;
        const { pool } = job;
        const observed = { worker: on, pool, task, run: number, job: id };
        speed.record({ ...observed, expectedMs, tookMs }, now);
      }
    }
  }

  #observe(
    { id, queue: name, pool }: JobRecord,
    { worker: on, task, run }: RunKey,
    guessMs: number,
    tookMs: number,
    now: number,
  ): void {
    const { speed } = this.#config;
    const expectedMs = this.#estimate.taskMs(name, guessMs);
    speed?.record(
      { worker: on, pool, task, run, job: id, expectedMs, tookMs },
      now,
    );
    if ((speed?.factor(on) ?? 1) === 1) {
      this.#estimate.observe(name, guessMs, tookMs);
    }
  }

  #startWorkers(now: number): void {
    for (const vm of this.#vms.values()) {
      const isDue = vm.worker === undefined && vm.pool !== STANDBY &&
        vm.readyAt <= now;
      if (isDue) {
        vm.incarnation += 1;
        const cpuMilli = 1_000 * this.#config.coresOfVm;
        vm.worker = worker(`w${vm.incarnation}-${vm.vm}`, {
          pool: vm.pool,
          vm: vm.vm,
          capacity: { cpuMilli, memoryMb: 1_000_000, gpus: 0 },
        });
        this.#jobStore.apply({ kind: "join", workers: [vm.worker] });
      }
    }
  }

  #moveVms(now: number): void {
    const demands = poolDemands(
      this.#jobStore,
      this.#rates,
      this.#estimate,
      now,
    );
    anticipate(demands, this.#trend, now);
    const { choose = chooseMoves } = this.#config;
    for (const { vm, to } of choose(this.#pools(demands, now))) {
      const moved = this.#vms.get(vm);
      if (moved !== undefined) {
        const { worker: last } = moved;
        if (last !== undefined) {
          this.#jobStore.apply({
            kind: "lose",
            workers: [last.id],
            haveEnded: true,
            atMs: now,
          });
        }
        this.#moves += 1;
        moved.pool = to;
        moved.worker = undefined;
        moved.readyAt = now + MOVE_MS;
        this.#idleSince.delete(vm);
      }
    }
  }

  #pools(
    demands: ReadonlyMap<string, PoolDemand>,
    now: number,
  ): PoolState[] {
    const { coresOfVm: cores } = this.#config;
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
    for (
      const { vm, pool, worker: own, readyAt } of this.#vms.values()
    ) {
      const state = pools.get(pool);
      if (state === undefined) {
        continue;
      }
      if (state.standby) {
        if (readyAt <= now) {
          state.idle.push({ vm, pool, cores, idleMs: Infinity });
        }
        continue;
      }
      state.cores += cores;
      state.vms += 1;
      if (own !== undefined && this.#jobStore.load(own.id).runs.size === 0) {
        const since = this.#idleSince.get(vm) ?? now;
        this.#idleSince.set(vm, since);
        state.idle.push({ vm, pool, cores, idleMs: now - since });
      } else {
        this.#idleSince.delete(vm);
      }
    }
    return [...pools.values()];
  }

  #placeTasks(now: number): void {
    const candidates = new Map<string, CandidateWorker[]>();
    for (const { pool, worker: own } of this.#vms.values()) {
      if (own !== undefined) {
        const slowness = this.#config.speed?.slownessOf(own.id, now);
        const load = this.#jobStore.load(own.id);
        const candidate = new CandidateWorker(own, load, { slowness });
        candidates.set(pool, [...candidates.get(pool) ?? [], candidate]);
      }
    }
    const runs = this.#choosePlacements(candidates, now);
    this.#jobStore.apply({ kind: "place", runs });
    for (const run of runs) {
      const arrival = this.#arrivals.get(run.task.split(".")[0] ?? "");
      const { slowFactor = () => 1 } = this.#config;
      const vm = this.#jobStore.workers.get(run.worker)?.vm ?? "";
      const tookMs = (arrival?.taskMs ?? 0) * this.#logNormal(TASK_SPREAD) *
        slowFactor(vm, now);
      const endsAt = now + TICK_MS * Math.max(1, Math.round(tookMs / TICK_MS));
      const ends = this.#endsByTime.get(endsAt) ?? [];
      ends.push({ run, tookMs });
      this.#running.set(run.task, { run, tookMs, startedAt: now });
      this.#endsByTime.set(endsAt, ends);
    }
  }

  #choosePlacements(
    candidates: ReadonlyMap<string, CandidateWorker[]>,
    now: number,
  ): RunKey[] {
    const waiting = this.#jobStore.waiting.values();
    const estimate = this.#estimate;
    if (this.#config.speed !== undefined) {
      const input = { waiting, estimate, candidates, isPermitted: () => true };
      return runPlacementPass(input, now).placements.flatMap(({ runs }) =>
        runs
      );
    }
    return sortByUrgency(waiting, estimate, now).flatMap((each) =>
      placeStep(each, candidates.get(each.job.pool) ?? [], now)
    );
  }

  /** A log-normal factor of mean 1 (Box-Muller transform). */
  #logNormal(spread: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.#random()));
    const normal = radius * Math.cos(2 * Math.PI * this.#random());
    return Math.exp(spread * normal - spread * spread / 2);
  }

  #countVmSeconds(): void {
    for (const { worker: own } of this.#vms.values()) {
      this.#vmSeconds += own === undefined ? 0 : TICK_MS / 1_000;
    }
  }

  #result(): SimulationResult {
    const windows = new Map<number, { total: number; inTime: number }>();
    let total = 0;
    let inTime = 0;
    let unfinished = 0;
    for (const { at, work, isInTime } of this.#arrivals.values()) {
      const start = Math.floor(at / WINDOW_MS);
      const window = windows.get(start) ?? { total: 0, inTime: 0 };
      windows.set(start, window);
      window.total += work;
      total += work;
      if (isInTime === true) {
        window.inTime += work;
        inTime += work;
      }
      unfinished += Number(isInTime === undefined);
    }
    const shares = [...windows.values()].map((w) => w.inTime / w.total);
    return {
      inTime: inTime / total,
      worstWindow: Math.min(...shares),
      vmSecondsForWork: this.#vmSeconds /
        (this.#workSeconds / this.#config.coresOfVm),
      moves: this.#moves,
      unfinished,
    };
  }
}

/** Demand as a share of its peak, at a point of the burst from 0 to 1; a low base load outside the burst. */
function demandShare(point: number): number {
  if (point < 0 || point > 1) {
    return 0.01;
  }
  return Math.min(1, point / RAMP_SHARE, (1 - point) / RAMP_SHARE);
}

/**
 * A day of queues whose demand rises one after the other, played on the real decisions: who gets room, what pools need
 * and which VMs move. Workers are timers; no network, no processes.
 *
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  ArrivalRates,
  chooseMoves,
  inOrderOfUrgency,
  JobBook,
  type Move,
  placeStep,
  type PoolDemand,
  poolDemands,
  type PoolState,
  type Queue,
  Room,
  type RunKey,
  type StepSpec,
  type Worker,
  WorkEstimate,
} from "@quetzalcove/core/scheduling";
import { queue, step, worker } from "./scheduling_fixture.ts";

/** A queue with the load that it brings. */
export interface QueueLoad {
  pool: string;
  /** VMs of its pool at the start. */
  vms: number;
  /** Jobs a second while its demand is highest. */
  jobsPerSecond: number;
  /** Steps that follow one another, and tasks of each. */
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
  /** How long the demand of each queue is up, in milliseconds; one after the other. */
  peakMs: number;
  seed: number;
  /** Chooses moves; as the product does, unless given. */
  choose?: (pools: readonly PoolState[]) => Move[];
  /** Learns durations; the product's estimate, unless given. */
  estimate?: WorkEstimate;
}

export interface SimulationResult {
  /** Share of jobs that met their objective, weighed by their work. */
  inTime: number;
  /** The same in the worst two seconds. */
  worstWindow: number;
  /** Seconds of VMs in pools that are on, for each second that tasks alone would fill. */
  vmSecondsForWork: number;
  moves: number;
  unfinished: number;
}

const TICK_MS = 20;
const MOVE_MS = 1_500;
const WINDOW_MS = 2_000;
const STANDBY = "spare";
/** Share of a turn in which demand rises, and in which it falls. */
const RAMP_SHARE = 1 / 3;
/** Standard deviations of logarithms: durations between jobs and within one, and guesses around durations. */
const JOB_SPREAD = 0.45;
const TASK_SPREAD = 0.15;
const GUESS_SPREAD = 0.5;
/** Time after the last turn in which everything should have ended, in milliseconds. */
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
  /** Real mean duration of its tasks, and what its submitter guesses, in milliseconds. */
  taskMs: number;
  guessMs: number;
  objective: number;
  work: number;
  isInTime: boolean | undefined;
}

export function simulate(plan: SimulationConfig): SimulationResult {
  return new Simulation(plan).run();
}

class Simulation {
  readonly #config: SimulationConfig;
  readonly #random;
  readonly #book = new JobBook();
  readonly #rates = new ArrivalRates();
  readonly #estimate: WorkEstimate;
  readonly #vms = new Map<string, Vm>();
  readonly #endsByTime = new Map<number, { run: RunKey; tookMs: number }[]>();
  readonly #idleSince = new Map<string, number>();
  readonly #arrivals = new Map<string, Arrival>();
  #vmSeconds = 0;
  #moves = 0;
  #workSeconds = 0;

  constructor(plan: SimulationConfig) {
    this.#config = plan;
    this.#estimate = plan.estimate ?? new WorkEstimate();
    const generator = xoroshiro128plus(plan.seed);
    this.#random = () => uniformFloat64(generator);
    this.#book.apply({
      kind: "plan",
      plan: {
        version: 1,
        queues: plan.queues.map(({ pool }): Queue =>
          queue({ name: pool, pool })
        ),
        pools: [
          ...plan.queues.map(({ pool }) => ({
            name: pool,
            enforcesCapacity: true,
            standby: false,
          })),
          { name: STANDBY, enforcesCapacity: true, standby: true },
        ],
        source: "{}",
      },
    });
    plan.queues.forEach(({ pool, vms }) => this.#addVms(pool, vms));
    this.#addVms(STANDBY, plan.standbyVms);
  }

  run(): SimulationResult {
    const { queues, peakMs: turnMs } = this.#config;
    const lengthMs = queues.length * turnMs + COOL_DOWN_MS;
    for (let now = 0; now < lengthMs; now += TICK_MS) {
      this.#submitArrivals(now);
      this.#endRuns(now);
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
    this.#config.queues.forEach((load, turn) => {
      const expected = load.jobsPerSecond * TICK_MS / 1_000 *
        demandShare((now - turn * this.#config.peakMs) / this.#config.peakMs);
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
    const guessMs = taskMs * this.#logNormal(GUESS_SPREAD);
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
    this.#book.apply({
      kind: "submit",
      jobs: [{ id, queue: pool, pool, spec }],
      atMs: now,
    });
    const job = this.#book.jobs.get(id);
    if (job === undefined) {
      throw new Error(`Job "${id}" was not stored`);
    }
    this.#rates.note(pool, this.#estimate.workOf(job), now);
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
    this.#book.apply({
      kind: "settle",
      ends: ends.map(({ run }) => ({ ...run, how: "done", checkpoint: "" })),
      dropped: [],
      atMs: now,
    });
    for (const { run, tookMs } of ends) {
      const job = this.#book.jobs.get(run.task.split(".")[0] ?? "");
      const arrival = this.#arrivals.get(job?.id ?? "");
      if (job !== undefined && arrival !== undefined) {
        this.#estimate.observe(job.queue, arrival.guessMs, tookMs);
      }
    }
    for (const job of this.#book.justEnded.splice(0)) {
      const arrival = this.#arrivals.get(job.id);
      if (arrival !== undefined) {
        arrival.isInTime = now <= arrival.objective;
      }
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
        this.#book.apply({ kind: "join", workers: [vm.worker] });
      }
    }
  }

  #moveVms(now: number): void {
    const demands = poolDemands(this.#book, this.#rates, this.#estimate, now);
    const { choose = chooseMoves } = this.#config;
    for (const { vm, to } of choose(this.#pools(demands, now))) {
      const moved = this.#vms.get(vm);
      if (moved !== undefined) {
        const { worker: last } = moved;
        if (last !== undefined) {
          this.#book.apply({
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
    for (const { name, standby } of this.#book.plan.pools) {
      const demand = demands.get(name);
      if (demand !== undefined) {
        pools.set(name, { name, standby, demand, cores: 0, idle: [] });
      }
    }
    for (
      const { vm, pool, worker: own, readyAt: backAt } of this.#vms.values()
    ) {
      const state = pools.get(pool);
      if (state === undefined) {
        continue;
      }
      if (state.standby) {
        if (backAt <= now) {
          state.idle.push({ vm, pool, cores, idleMs: Infinity });
        }
        continue;
      }
      state.cores += cores;
      if (own !== undefined && this.#book.load(own.id).runs.size === 0) {
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
    const rooms = new Map<string, Room[]>();
    for (const { pool, worker: own } of this.#vms.values()) {
      if (own !== undefined) {
        const room = new Room(own, this.#book.load(own.id));
        rooms.set(pool, [...rooms.get(pool) ?? [], room]);
      }
    }
    const inOrder = inOrderOfUrgency(
      this.#book.waiting.values(),
      this.#estimate,
      now,
    );
    const runs = inOrder.flatMap((each) =>
      placeStep(each, rooms.get(each.job.pool) ?? [], now)
    );
    this.#book.apply({ kind: "place", runs });
    for (const run of runs) {
      const arrival = this.#arrivals.get(run.task.split(".")[0] ?? "");
      const tookMs = (arrival?.taskMs ?? 0) * this.#logNormal(TASK_SPREAD);
      const endsAt = now + TICK_MS * Math.max(1, Math.round(tookMs / TICK_MS));
      const ends = this.#endsByTime.get(endsAt) ?? [];
      ends.push({ run, tookMs });
      this.#endsByTime.set(endsAt, ends);
    }
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
    const windows = new Map<number, { owed: number; earned: number }>();
    let owed = 0;
    let earned = 0;
    let unfinished = 0;
    for (const { at, work, isInTime } of this.#arrivals.values()) {
      const start = Math.floor(at / WINDOW_MS);
      const window = windows.get(start) ?? { owed: 0, earned: 0 };
      windows.set(start, window);
      window.owed += work;
      owed += work;
      if (isInTime === true) {
        window.earned += work;
        earned += work;
      }
      unfinished += Number(isInTime === undefined);
    }
    const shares = [...windows.values()].map((w) => w.earned / w.owed);
    return {
      inTime: earned / owed,
      worstWindow: Math.min(...shares),
      vmSecondsForWork: this.#vmSeconds /
        (this.#workSeconds / this.#config.coresOfVm),
      moves: this.#moves,
      unfinished,
    };
  }
}

/** Demand at a point of a turn, as a share of its height. */
function demandShare(point: number): number {
  if (point < 0 || point > 1) {
    return 0.01;
  }
  return Math.min(1, point / RAMP_SHARE, (1 - point) / RAMP_SHARE);
}

/**
 * Simulation of one pool in front of which small and large steps wait. It runs the code of core for placement; workers
 * are timers, without processes or network.
 *
 * @module
 */
import {
  CandidateWorker,
  type FitScore,
  JobStore,
  LookAhead,
  type Queue,
  type ReservationLimits,
  type RunKey,
  runPlacementPass,
  type RunRecord,
  RunStarts,
  type TimedRun,
  type TimedStep,
  timedStepOf,
  type Worker,
  WorkEstimate,
} from "@quetzalcove/core/scheduling";
import { below, createRandom, type Random } from "../placement/random.ts";
import { newStep } from "./new_step.ts";

const TICK_MS = 20;
const POOL = "pool";
const QUEUE = "queue";
/** Factor of a task's duration away from the rack of its data. */
const REMOTE_FACTOR = 2;

/** A kind of jobs with one step. */
export interface JobKind {
  name: string;
  /** Share of the jobs. */
  share: number;
  minCores: number;
  maxCores: number;
  /** Memory of a task for each of its cores. */
  memoryMbPerCore: number;
  tasks: number;
  isGang?: boolean;
  /** Share of the jobs whose data is on the first rack. */
  rackShare?: number;
}

export interface PoolLoad {
  workers: number;
  /** Capacities, assigned to the workers in turn. */
  cores: readonly number[];
  memoryMbPerCore: number;
  racks: number;
  kinds: readonly JobKind[];
  /** Cores that the arriving work needs on average, as a share of those of the pool, over time. */
  demand: (now: number) => number;
  /** Time for which jobs arrive. */
  lengthMs: number;
  minTaskMs: number;
  maxTaskMs: number;
  /** Largest factor by which a guess is wrong. */
  guessError: number;
}

/** How the pool is scheduled. */
export interface PoolPolicy {
  lookAhead: boolean;
  limits?: ReservationLimits;
  /** Score of a worker's free resources; that of core by default. */
  fitScore?: FitScore;
}

/** The result for one job. */
export interface JobResult {
  kind: string;
  coreMs: number;
  submittedAt: number;
  /** Time until the first task started; undefined if none did. */
  waitMs: number | undefined;
  /** Time until the last task ended; undefined if it has not. */
  tookMs: number | undefined;
  isInTime: boolean;
  /** Rack of its data; empty for none. */
  dataRack: string;
  /** Whether a task ran away from the rack of its data. */
  isFar: boolean;
}

export interface PoolResult {
  jobs: JobResult[];
  /** Longest time for which one step held a worker before it started. */
  longestHoldMs: number;
  /** Largest number of workers that were reserved at once. */
  mostReserved: number;
}

interface Job extends JobResult {
  taskMs: number;
  guessMs: number;
  /** Time by which the job should be complete. */
  objective: number;
}

/** Plays a load until all jobs have ended, or for at most twice its length and 20 s. */
export function simulatePool(
  load: PoolLoad,
  policy: PoolPolicy,
  seed: number,
): PoolResult {
  return new PoolSimulation(load, policy, seed).run();
}

class PoolSimulation {
  readonly #load: PoolLoad;
  readonly #policy: PoolPolicy;
  readonly #random: Random;
  readonly #store = new JobStore();
  readonly #estimate = new WorkEstimate();
  readonly #starts = new RunStarts(0);
  readonly #lookAhead: LookAhead | undefined;
  readonly #jobs = new Map<string, Job>();
  readonly #ends = new Map<number, { run: RunKey; tookMs: number }[]>();
  readonly #holdSince = new Map<string, number>();
  #longestHoldMs = 0;
  #mostReserved = 0;
  #owedCoreMs = 0;

  constructor(load: PoolLoad, policy: PoolPolicy, seed: number) {
    this.#load = load;
    this.#policy = policy;
    this.#random = createRandom(seed);
    this.#store.apply({ kind: "plan", plan: PLAN });
    this.#store.apply({ kind: "join", workers: workersOf(load) });
    if (policy.lookAhead) {
      this.#lookAhead = new LookAhead({
        estimate: this.#estimate,
        remoteFactor: REMOTE_FACTOR,
        runsOn: (worker) => this.#runsOn(worker),
        ...(policy.limits === undefined ? {} : { limits: policy.limits }),
      });
    }
  }

  run(): PoolResult {
    const { lengthMs } = this.#load;
    const limitMs = 2 * lengthMs + 20_000;
    for (let now = 0; now < limitMs; now += TICK_MS) {
      if (now < lengthMs) {
        this.#submitArrivals(now);
      } else if (this.#ends.size === 0 && this.#store.waiting.size === 0) {
        break;
      }
      this.#endRuns(now);
      this.#placeTasks(now);
    }
    return {
      jobs: [...this.#jobs.values()],
      longestHoldMs: this.#longestHoldMs,
      mostReserved: this.#mostReserved,
    };
  }

  #runsOn(worker: string): TimedRun[] {
    return this.#starts.of(
      this.#store.load(worker).runs.values(),
      (run) => timedStepOf(this.#store, run),
    );
  }

  #submitArrivals(now: number): void {
    const { workers, cores, demand } = this.#load;
    const all = Array.from(
      { length: workers },
      (_, index) => cores[index % cores.length] ?? 0,
    ).reduce((sum, each) => sum + each, 0);
    this.#owedCoreMs += demand(now) * all * TICK_MS;
    while (this.#owedCoreMs > 0) {
      this.#owedCoreMs -= this.#submit(now);
    }
  }

  /** Submits a random job and returns its work. */
  #submit(now: number): number {
    const { minTaskMs, maxTaskMs, guessError } = this.#load;
    const random = this.#random;
    const kind = this.#chooseKind();
    const id = `j${this.#jobs.size}`;
    const cores = kind.minCores +
      below(random, kind.maxCores - kind.minCores + 1);
    const taskMs = Math.round(
      minTaskMs * (maxTaskMs / minTaskMs) ** random(),
    );
    const guessMs = Math.max(
      1,
      Math.round(taskMs * guessError ** (2 * random() - 1)),
    );
    const wantsRack = random() < (kind.rackShare ?? 0);
    const dataRack = wantsRack ? "r0" : "";
    const spec = newStep({
      taskCount: kind.tasks,
      demand: {
        cpuMilli: 1_000 * cores,
        memoryMb: Math.round(kind.memoryMbPerCore * cores),
        gpus: 0,
      },
      estimatedMs: guessMs,
      gang: kind.isGang ?? false,
      dataRack,
    });
    this.#store.apply({
      kind: "submit",
      jobs: [{
        id,
        queue: QUEUE,
        pool: POOL,
        spec: { text: "", steps: [spec], repeat: undefined },
      }],
      atMs: now,
    });
    const coreMs = kind.tasks * cores * taskMs;
    this.#jobs.set(id, {
      kind: kind.name,
      coreMs,
      submittedAt: now,
      waitMs: undefined,
      tookMs: undefined,
      isInTime: false,
      isFar: false,
      taskMs,
      guessMs,
      objective: now + SLACK_FACTOR * taskMs + TARGET_LATENCY_MS,
      dataRack,
    });
    return coreMs;
  }

  #chooseKind(): JobKind {
    const { kinds } = this.#load;
    let left = this.#random() * kinds.reduce((sum, k) => sum + k.share, 0);
    for (const kind of kinds) {
      left -= kind.share;
      if (left < 0) {
        return kind;
      }
    }
    return kinds.at(-1) as JobKind;
  }

  #endRuns(now: number): void {
    const ends = this.#ends.get(now) ?? [];
    this.#ends.delete(now);
    if (ends.length === 0) {
      return;
    }
    this.#store.apply({
      kind: "settle",
      ends: ends.map(({ run }) => ({ ...run, how: "done", checkpoint: "" })),
      dropped: [],
      atMs: now,
    });
    for (const { run, tookMs } of ends) {
      const { guessMs } = this.#jobOf(run.task);
      this.#estimate.observe(QUEUE, guessMs, tookMs);
    }
    for (const { id } of this.#store.justEnded.splice(0)) {
      const job = this.#jobOf(id);
      job.tookMs = now - job.submittedAt;
      job.isInTime = now <= job.objective;
    }
  }

  #placeTasks(now: number): void {
    const { fitScore } = this.#policy;
    const workers = [...this.#store.workers.values()].map((each) =>
      new CandidateWorker(
        each,
        this.#store.load(each.id),
        fitScore === undefined ? {} : { fitScore },
      )
    );
    const { placements } = runPlacementPass({
      waiting: this.#store.waiting.values(),
      estimate: this.#estimate,
      candidates: new Map([[POOL, workers]]),
      isPermitted: () => true,
      lookAhead: this.#lookAhead &&
        ((input) => (this.#lookAhead as LookAhead).begin(input, now)),
    }, now);
    this.#watchReservations(now);
    const runs = placements.flatMap((placement) => placement.runs);
    this.#store.apply({ kind: "place", runs });
    for (const run of runs) {
      this.#start(run, now);
    }
  }

  #start(run: RunKey, now: number): void {
    const job = this.#jobOf(run.task);
    const labels = this.#store.workers.get(run.worker)?.labels ?? [];
    const isFar = job.dataRack !== "" && !labels.includes(job.dataRack);
    job.waitMs ??= now - job.submittedAt;
    job.isFar ||= isFar;
    const record = this.#store.findRun(run) as RunRecord;
    this.#starts.record(
      record,
      timedStepOf(this.#store, record) as TimedStep,
      now,
    );
    const tookMs = job.taskMs * (isFar ? REMOTE_FACTOR : 1);
    const endsAt = now + TICK_MS * Math.max(1, Math.round(tookMs / TICK_MS));
    const ends = this.#ends.get(endsAt) ?? [];
    ends.push({ run, tookMs });
    this.#ends.set(endsAt, ends);
  }

  #watchReservations(now: number): void {
    const plan = this.#lookAhead?.reservations.get(POOL) ?? [];
    this.#mostReserved = Math.max(
      this.#mostReserved,
      plan.filter(({ isHeld }) => !isHeld).length,
    );
    const held = new Set(
      plan.filter(({ isHeld }) => isHeld).map(({ step }) => step),
    );
    for (const step of this.#holdSince.keys()) {
      if (!held.has(step)) {
        this.#holdSince.delete(step);
      }
    }
    for (const step of held) {
      const since = this.#holdSince.get(step) ?? now;
      this.#holdSince.set(step, since);
      this.#longestHoldMs = Math.max(this.#longestHoldMs, now - since);
    }
  }

  #jobOf(task: string): Job {
    const job = this.#jobs.get(task.split(".")[0] ?? "");
    if (job === undefined) {
      throw new Error(`Job of "${task}" is unknown`);
    }
    return job;
  }
}

function workersOf(load: PoolLoad): Worker[] {
  const { workers, cores, memoryMbPerCore, racks } = load;
  return Array.from({ length: workers }, (_, index) => {
    const own = cores[index % cores.length] ?? 0;
    return {
      id: `w${index}`,
      pool: POOL,
      address: `w${index}`,
      zone: "zone",
      capacity: {
        cpuMilli: 1_000 * own,
        memoryMb: memoryMbPerCore * own,
        gpus: 0,
      },
      labels: ["kind", `r${index % racks}`],
      draining: false,
      hasLeft: false,
    };
  });
}

const SLACK_FACTOR = 1.6;
const TARGET_LATENCY_MS = 600;

const PLAN = {
  version: 1,
  queues: [
    {
      name: QUEUE,
      host: "host",
      pathPrefix: "/",
      pool: POOL,
      priority: 0,
      maxAttempts: 2,
      slackFactor: SLACK_FACTOR,
      targetLatencyMs: TARGET_LATENCY_MS,
      timeoutMs: 3_000,
      advised: false,
      allowsAnonymous: false,
    } satisfies Queue,
  ],
  pools: [{ name: POOL, enforcesCapacity: true, standby: false }],
  customers: [],
  source: "{}",
};

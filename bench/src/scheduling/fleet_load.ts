/**
 * A job store with many busy workers and waiting steps, for measuring placement passes.
 *
 * @module
 */
import { groupBy } from "@quetzalcove/core";
import {
  CandidateWorker,
  type Customer,
  JobStore,
  type Queue,
  type RunKey,
  type StepSpec,
  type SubmittedJob,
  type Worker,
} from "@quetzalcove/core/scheduling";
import { below, createRandom, type Random } from "../placement/random.ts";
import { newStep } from "./new_step.ts";

export interface LoadOptions {
  seed: number;
  workers: number;
  waitingSteps: number;
  /** Customers in the queue plan; each job belongs to one of them. */
  customers: number;
}

const POOLS = ["intake", "charts", "media", "exports", "mail"];
const WORKER_CORES = 32;
const WORKER_MEMORY_MB = 64_000;

/** Cores of each worker that are reserved before the pass; a few are left, so that a pass places some steps. */
const RESERVED_CORES = [20, 24, 28, 30, 31, 32];

/** Time for which jobs have waited at most, in milliseconds; long enough that some are late. */
const MAX_WAITED_MS = 6_000;

/** Wall-clock time of the pass, in milliseconds. */
export const PASS_AT_MS = 100_000;

const MEMORY_PER_CORE_MB = 1_500;

/** Builds a store with the load. Its jobs are the same for any number of customers. */
export function loadedStore(options: LoadOptions): JobStore {
  const { seed, workers, waitingSteps, customers } = options;
  const random = createRandom(seed);
  const store = new JobStore();
  store.apply({
    kind: "plan",
    plan: {
      version: 1,
      queues: POOLS.map(newQueue),
      pools: POOLS.map((name) => ({
        name,
        enforcesCapacity: true,
        standby: false,
      })),
      customers: Array.from({ length: customers }, (_, i) => newCustomer(i)),
      source: "{}",
    },
  });
  store.apply({
    kind: "join",
    workers: Array.from({ length: workers }, (_, i) => newWorker(i)),
  });
  startBusyRuns(store, random);
  const jobs = Array.from(
    { length: waitingSteps },
    (_, i): SubmittedJob =>
      newJob(`w${i}`, below(random, POOLS.length), {
        owner: ownerOf(i, customers),
        step: randomStep(random),
      }),
  );
  for (const job of jobs) {
    const atMs = PASS_AT_MS - below(random, MAX_WAITED_MS);
    store.apply({ kind: "submit", jobs: [job], atMs });
  }
  return store;
}

/** Candidate workers by pool, as at the start of a pass. */
export function candidatesOf(store: JobStore): Map<string, CandidateWorker[]> {
  const candidates = Array.from(
    store.workers.values(),
    (worker) => new CandidateWorker(worker, store.load(worker.id)),
  );
  return groupBy(candidates, ({ worker }) => worker.pool);
}

/** A tenth of the customers own half of the jobs. */
function ownerOf(index: number, customers: number): string | undefined {
  if (customers === 0) {
    return undefined;
  }
  const large = Math.max(1, Math.floor(customers / 10));
  return `customer-${
    index % 2 === 0 ? (index / 2) % large : ((index - 1) / 2) % customers
  }`;
}

/** Reserves cores of each worker by one run. */
function startBusyRuns(store: JobStore, random: Random): void {
  const runs: RunKey[] = [];
  const customers = store.plan.customers.length;
  [...store.workers.values()].forEach((worker, i) => {
    const cores = RESERVED_CORES[below(random, RESERVED_CORES.length)] ?? 0;
    const job = newJob(`b${i}`, POOLS.indexOf(worker.pool), {
      owner: ownerOf(i, customers),
      step: newStep({ demand: demandOf(cores), estimatedMs: 1_000 }),
    });
    store.apply({ kind: "submit", jobs: [job], atMs: 0 });
    runs.push({ task: `b${i}.0.0.0`, run: 1, worker: worker.id });
  });
  store.apply({ kind: "place", runs });
}

function randomStep(random: Random): StepSpec {
  const kind = random();
  return newStep({
    taskCount: 1 + below(random, 8),
    demand: demandOf(1 + below(random, 8)),
    estimatedMs: 200 + below(random, 3_000),
    gang: kind < 0.05,
    sameRack: kind >= 0.05 && kind < 0.1,
    lasting: kind >= 0.1 && kind < 0.12,
  });
}

function newQueue(pool: string): Queue {
  return {
    name: pool,
    host: "jobs.example",
    pathPrefix: `/${pool}/`,
    pool,
    priority: 0,
    maxAttempts: 3,
    slackFactor: 2,
    targetLatencyMs: 500,
    timeoutMs: 3_000,
    advised: false,
    allowsAnonymous: false,
  };
}

/** Large customers have ten times the weight of the others; caps are out of reach of the load. */
function newCustomer(index: number): Customer {
  return {
    name: `customer-${index}`,
    keyDigests: [],
    weight: index % 10 === 0 ? 10 : 1,
    cap: { cpuMilli: 20_000_000, memoryMb: 0, gpus: 0 },
  };
}

function newWorker(index: number): Worker {
  return {
    id: `worker-${index}`,
    pool: POOLS[index % POOLS.length] ?? "",
    address: `10.0.${Math.floor(index / 250)}.${index % 250}:8000`,
    zone: "a",
    vm: `vm-${index}`,
    capacity: {
      cpuMilli: 1_000 * WORKER_CORES,
      memoryMb: WORKER_MEMORY_MB,
      gpus: 0,
    },
    labels: ["standard", `rack-${index % 40}`],
    draining: false,
    hasLeft: false,
  };
}

function newJob(
  id: string,
  pool: number,
  { owner, step }: { owner: string | undefined; step: StepSpec },
): SubmittedJob {
  const name = POOLS[pool] ?? "";
  const spec = { text: "work", steps: [step], repeat: undefined };
  return { id, queue: name, pool: name, customer: owner, spec };
}

function demandOf(cores: number): StepSpec["demand"] {
  return {
    cpuMilli: 1_000 * cores,
    memoryMb: MEMORY_PER_CORE_MB * cores,
    gpus: 0,
  };
}

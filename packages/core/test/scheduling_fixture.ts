/**
 * Builders of jobs, workers and job stores for the scheduling tests.
 *
 * @module
 */
import {
  type BatchJobSpec,
  type CompleteListing,
  type Customer,
  JobStore,
  type Queue,
  type QueuePlan,
  type RunKey,
  type StepSpec,
  type SubmittedJob,
  type Worker,
} from "@quetzalcove/core/scheduling";

export function step(changes: Partial<StepSpec> = {}): StepSpec {
  return {
    taskCount: 1,
    demand: { cpuMilli: 1_000, memoryMb: 100, gpus: 0 },
    estimatedMs: 1_000,
    dependsOn: [],
    checkpoints: false,
    gang: false,
    sameRack: false,
    requiredLabel: "",
    dataRack: "",
    maxPerWorker: 0,
    allowsCopies: false,
    lasting: false,
    image: "",
    targetLatencyMs: 0,
    fills: false,
    maxUnavailable: undefined,
    ...changes,
  };
}

export function spec(...steps: StepSpec[]): BatchJobSpec {
  return { text: "work", steps, repeat: undefined };
}

/** A complete listing of a worker; by default of one without runs. */
export function listing(
  rows: Partial<Pick<CompleteListing, "running" | "ended">> = {},
): CompleteListing {
  return {
    running: [],
    ended: [],
    unreadableRows: 0,
    hasMoreEnds: false,
    ...rows,
  };
}

export function queue(changes: Partial<Queue> = {}): Queue {
  return {
    name: "reports",
    host: "reports.example",
    pathPrefix: "/reports/",
    pool: "intake",
    priority: 0,
    maxAttempts: 2,
    slackFactor: 1.6,
    targetLatencyMs: 600,
    timeoutMs: 3_000,
    advised: false,
    allowsAnonymous: false,
    ...changes,
  };
}

export function worker(id: string, changes: Partial<Worker> = {}): Worker {
  return {
    id,
    pool: "intake",
    address: `10.0.0.1:${8_000 + Number(id.replace(/\D/g, "") || 0)}`,
    zone: "accra-a",
    vm: `vm-${id}`,
    capacity: { cpuMilli: 4_000, memoryMb: 1_000, gpus: 0 },
    labels: ["a", "r1"],
    draining: false,
    hasLeft: false,
    ...changes,
  };
}

/** A customer without limits. */
export function customer(name: string, ...keyDigests: string[]): Customer {
  return {
    name,
    keyDigests,
    weight: 1,
    cap: { cpuMilli: 0, memoryMb: 0, gpus: 0 },
  };
}

/** A plan with the given customers and queues; one default queue if none is given. */
export function planOf(
  customers: Customer[],
  ...queues: Queue[]
): QueuePlan {
  return {
    version: 1,
    queues: queues.length === 0 ? [queue()] : queues,
    pools: [
      { name: "intake", enforcesCapacity: true, standby: false },
      { name: "charts", enforcesCapacity: true, standby: false },
      { name: "spare", enforcesCapacity: true, standby: true },
    ],
    customers,
    source: "{}",
  };
}

/** A job store with the given workers and queues; one default queue if none is given. */
export function newJobStore(
  workers: readonly Worker[],
  ...queues: Queue[]
): JobStore {
  const store = new JobStore();
  store.apply({
    kind: "plan",
    plan: planOf([], ...queues),
  });
  store.apply({ kind: "join", workers: [...workers] });
  return store;
}

export function submit(
  store: JobStore,
  id: string,
  job: BatchJobSpec,
  atMs = 0,
): void {
  const submitted: SubmittedJob = {
    id,
    queue: "reports",
    pool: "intake",
    spec: job,
  };
  store.apply({ kind: "submit", jobs: [submitted], atMs });
}

export function place(store: JobStore, ...runs: RunKey[]): void {
  store.apply({ kind: "place", runs });
}

export function end(
  store: JobStore,
  run: RunKey,
  how: "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone",
  checkpoint = "",
): void {
  store.apply({
    kind: "settle",
    ends: [{ ...run, how, checkpoint }],
    dropped: [],
    atMs: 1_000,
  });
}

export function run(task: string, number: number, on: string): RunKey {
  return { task, run: number, worker: on };
}

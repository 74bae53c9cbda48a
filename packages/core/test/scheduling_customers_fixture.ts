/**
 * Builders of loads with customers, and a play of such a load over time, for the scheduling tests.
 *
 * @module
 */
import {
  CandidateWorker,
  type Customer,
  JobStore,
  type JobStoreCommand,
  type PlacementPass,
  type RunKey,
  runPlacementPass,
  type StepSpec,
  type Worker,
  WorkEstimate,
} from "@quetzalcove/core/scheduling";
import {
  newJobStore,
  queue,
  spec,
  step,
  worker,
} from "./scheduling_fixture.ts";

export function customer(
  name: string,
  changes: Partial<Customer> = {},
): Customer {
  return {
    name,
    keyDigests: [],
    weight: 1,
    cap: { cpuMilli: 0, memoryMb: 0, gpus: 0 },
    ...changes,
  };
}

/** A cap on cores only. */
export function coreCap(cores: number): Customer["cap"] {
  return { cpuMilli: 1_000 * cores, memoryMb: 0, gpus: 0 };
}

/** Replaces the customers of a store by a new version of its plan. */
export function planCustomers(
  store: JobStore,
  ...customers: Customer[]
): void {
  const { plan } = store;
  store.apply({
    kind: "plan",
    plan: { ...plan, version: plan.version + 1, customers },
  });
}

export function newSharedStore(
  workers: readonly Worker[],
  ...customers: Customer[]
): JobStore {
  const store = newJobStore(workers);
  planCustomers(store, ...customers);
  return store;
}

/** Workers of four cores with memory for any test. */
export function workers(count: number): Worker[] {
  return Array.from({ length: count }, (_, i) =>
    worker(`w${i + 1}`, {
      capacity: { cpuMilli: 4_000, memoryMb: 100_000, gpus: 0 },
    }));
}

/** Submits a job of one step for a customer; undefined for an anonymous job. */
export function submitFor(
  store: JobStore,
  owner: string | undefined,
  id: string,
  changes: Partial<StepSpec> = {},
  atMs = 0,
): void {
  store.apply({
    kind: "submit",
    jobs: [{
      id,
      queue: "reports",
      pool: "intake",
      customer: owner,
      spec: spec(step(changes)),
    }],
    atMs,
  });
}

export function candidatesOf(store: JobStore): Map<string, CandidateWorker[]> {
  const candidates = new Map<string, CandidateWorker[]>();
  for (const each of store.workers.values()) {
    candidates.set(each.pool, [
      ...candidates.get(each.pool) ?? [],
      new CandidateWorker(each, store.load(each.id)),
    ]);
  }
  return candidates;
}

export function passOver(
  store: JobStore,
  wallNow = 0,
  candidates = candidatesOf(store),
): PlacementPass {
  return runPlacementPass({
    waiting: store.waiting.values(),
    estimate: new WorkEstimate(),
    candidates,
    isPermitted: () => true,
    customers: {
      planned: store.plan.customers,
      usage: store.customerUsage,
    },
  }, wallNow);
}

/** The command that commits the placements of a pass. */
export function commandOf(pass: PlacementPass): JobStoreCommand {
  return {
    kind: "place",
    runs: pass.placements.flatMap(({ runs }) => runs),
  };
}

/** Runs a pass and commits its placements; returns the names of the tasks that were placed. */
export function placeWaiting(store: JobStore, wallNow = 0): string[] {
  const command = commandOf(passOver(store, wallNow));
  store.apply(command);
  return command.kind === "place"
    ? command.runs.filter((run) => store.findRun(run)).map(({ task }) => task)
    : [];
}

/** All active runs of a store, in the order of its workers. */
export function activeRuns(store: JobStore): RunKey[] {
  return [...store.workers.keys()].flatMap((id) =>
    [...store.load(id).runs.values()].map(({ task, run }) => ({
      task,
      run,
      worker: id,
    }))
  );
}

/** Number of active runs by customer. */
export function runsByCustomer(store: JobStore): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { task } of activeRuns(store)) {
    const owner = store.jobs.get(task.split(".")[0] ?? "")?.customer ?? "none";
    counts[owner] = (counts[owner] ?? 0) + 1;
  }
  return counts;
}

/** Jobs of a customer per second at a time. */
export type Rate = (atMs: number) => number;

/** What became of a customer's jobs in a play. */
export interface Served {
  sent: number;
  /** Jobs that met their objective. */
  inTime: number;
  /** Jobs that ended. */
  done: number;
}

const TICK_MS = 20;

/** Duration of each task, in milliseconds. */
const TASK_MS = 1_000;

/** Objective of a job: its duration times the queue's slack factor, and the target latency. */
const OBJECTIVE_MS = queue().slackFactor * TASK_MS + queue().targetLatencyMs;

/** Plays jobs of one task of one core that arrive evenly, and counts those sent from `countFromMs` on. */
export function play(
  store: JobStore,
  rates: Readonly<Record<string, Rate>>,
  { lengthMs, countFromMs = 0 }: { lengthMs: number; countFromMs?: number },
): Record<string, Served> {
  const served: Record<string, Served> = {};
  const due: Record<string, number> = {};
  const ends = new Map<number, RunKey[]>();
  let sent = 0;
  for (let now = 0; now < lengthMs + OBJECTIVE_MS; now += TICK_MS) {
    const ending = ends.get(now) ?? [];
    store.apply({
      kind: "settle",
      ends: ending.map((run) => ({ ...run, how: "done", checkpoint: "" })),
      dropped: [],
      atMs: now,
    });
    for (const [owner, rate] of Object.entries(rates)) {
      const counts = served[owner] ??= { sent: 0, inTime: 0, done: 0 };
      due[owner] = (due[owner] ?? 0) +
        (now < lengthMs ? rate(now) * TICK_MS / 1_000 : 0);
      for (; (due[owner] ?? 0) >= 1; due[owner] = (due[owner] ?? 0) - 1) {
        counts.sent += now >= countFromMs ? 1 : 0;
        sent += 1;
        submitFor(store, owner, `${owner}-${sent}`, {}, now);
      }
    }
    const command = commandOf(passOver(store, now));
    store.apply(command);
    const runs = command.kind === "place" ? command.runs : [];
    ends.set(now + TASK_MS, [...ends.get(now + TASK_MS) ?? [], ...runs]);
    for (const { customer: owner = "", ...job } of store.justEnded.splice(0)) {
      const counts = served[owner];
      if (counts !== undefined && job.acceptedAtMs >= countFromMs) {
        counts.done += 1;
        counts.inTime += now - job.acceptedAtMs <= OBJECTIVE_MS ? 1 : 0;
      }
    }
  }
  return served;
}

/** Share of a customer's jobs that met their objective. */
export function inTimeShare(served: Served | undefined): number {
  return served === undefined ? 0 : served.inTime / served.sent;
}

/**
 * Work that waits for the capacity of a pool, and how long it takes to start.
 *
 * Each resource is considered by itself; the scarcest one decides.
 *
 * @module
 */
import {
  reservation,
  type Resources,
  type StepSpec,
} from "../model/batch_job.ts";
import type { SubmittedJob, Worker } from "../model/command.ts";
import type { Customer } from "../model/customer.ts";
import type { JobRecord } from "../model/job_record.ts";
import type { JobStore } from "../store/job_store.ts";
import {
  addInPlace,
  NO_RESOURCES,
  RESOURCES,
  scale,
  within,
} from "../model/resource_sum.ts";
import { StartRates } from "./start_rates.ts";
import { StartableShares } from "./startable_shares.ts";
import type { WorkEstimate } from "../order/work_estimate.ts";

/** Least drain rate as a share of the capacity, so that a pause in the placements is not taken for a standstill. */
const MIN_DRAIN_SHARE = 0.1;

type WorkOwner = Pick<JobRecord, "pool" | "queue" | "customer">;

/** Backlog of one pool at one moment. */
interface PoolState {
  capacity: Resources;
  free: Resources;
  /** What waiting tasks reserve when they run. */
  waiting: Resources;
  /** The same times their expected durations, in milliseconds. */
  work: Resources;
  /** Work that is started in a millisecond. */
  drain: Resources;
  /** Waiting work of each customer, including what waits for its cap. */
  customerWork: Map<string, Resources>;
  /** Work of a customer that is started in a millisecond, where it was asked for. */
  customerDrain: Map<string, Resources>;
  /** Time since which work waits beyond the free capacity; undefined if none does. */
  backlogSince: number | undefined;
}

export class PoolBacklogs {
  #pools = new Map<string, PoolState>();
  /** Share of each customer's weight in the sum of all weights. */
  #weightShares = new Map<string, number>();
  readonly #startRates = new StartRates();
  readonly #estimate: WorkEstimate;

  constructor(estimate: WorkEstimate) {
    this.#estimate = estimate;
  }

  /** Computes the backlogs anew. `usableWorkers` are the workers that may get new runs, by pool. */
  refresh(
    jobStore: JobStore,
    usableWorkers: ReadonlyMap<string, readonly Worker[]>,
    now: number,
  ): void {
    const pools = new Map<string, PoolState>();
    for (const { name } of jobStore.plan.pools) {
      pools.set(name, capacityOf(jobStore, usableWorkers.get(name) ?? []));
    }
    const startableShares = new StartableShares(jobStore);
    for (const { job, spec, indices } of jobStore.waiting.values()) {
      const state = pools.get(job.pool);
      if (state !== undefined) {
        const share = startableShares.of(job.customer);
        this.#add(state, job, spec, indices.size, share);
      }
    }
    for (const [name, state] of pools) {
      state.backlogSince = hasBacklog(state)
        ? this.#pools.get(name)?.backlogSince ?? now
        : undefined;
      state.drain = this.#drainRate(name, state, now);
    }
    this.#pools = pools;
    this.#weightShares = weightShares(jobStore.plan.customers);
  }

  /** Adds the steps of a newly accepted job that can start at once, until the next refresh includes them. */
  addJob(job: SubmittedJob): void {
    const { steps, repeat } = job.spec;
    const state = this.#pools.get(job.pool);
    if (state === undefined || repeat !== undefined) {
      return;
    }
    for (const spec of steps) {
      if (spec.dependsOn.length === 0) {
        this.#add(state, job, spec, spec.taskCount, 1);
      }
    }
  }

  /** Records that tasks of a step were placed, from which the drain rate is measured. */
  recordStart(
    { pool, queue, customer }: WorkOwner,
    spec: StepSpec,
    tasks: number,
    now: number,
  ): void {
    const work = scale(
      reservation(spec),
      tasks * this.#durationMs(queue, spec),
    );
    this.#startRates.record(pool, customer, work, now);
  }

  /**
   * Expected time until everything that waits in a pool has started, or everything of the customer if that is later,
   * since others may go first. 0 while the free capacity suffices for all, infinite while work waits and the pool has no
   * usable worker.
   */
  waitMs(pool: string, customer: string, now: number): number {
    const state = this.#pools.get(pool);
    if (state === undefined || !hasBacklog(state)) {
      return 0;
    }
    const { waiting, free, work, drain } = state;
    const waits = RESOURCES.map((resource) => {
      const beyond = Math.min(
        waiting[resource],
        waiting[resource] - free[resource],
      );
      return beyond <= 0 || work[resource] === 0
        ? 0
        : work[resource] * beyond / waiting[resource] / drain[resource];
    });
    const ownWork = state.customerWork.get(customer) ?? NO_RESOURCES;
    const ownDrain = this.#customerDrainRate(pool, customer, state, now);
    const ownWaits = RESOURCES.map((resource) =>
      ownWork[resource] === 0 ? 0 : ownWork[resource] / ownDrain[resource]
    );
    return max([...waits, ...ownWaits]);
  }

  /** Time in which the customer's share of the pool works off a job, in milliseconds. */
  drainMs({ pool, queue, customer, spec }: SubmittedJob): number {
    const drain = this.#pools.get(pool)?.drain ?? NO_RESOURCES;
    const share = this.#weightShares.get(customer ?? "") ?? 1;
    return max(RESOURCES.map((resource) => {
      const work = spec.steps.reduce(
        (sum, step) =>
          sum + step.taskCount * reservation(step)[resource] *
            this.#durationMs(queue, step),
        0,
      );
      return work === 0 || drain[resource] === 0
        ? 0
        : work / drain[resource] / share;
    }));
  }

  #add(
    { capacity, waiting, work, customerWork }: PoolState,
    { queue, customer }: WorkOwner,
    spec: StepSpec,
    tasks: number,
    startableShare: number,
  ): void {
    const demand = reservation(spec);
    const durationMs = this.#durationMs(queue, spec);
    if (lacksResource(capacity, demand)) {
      return;
    }
    addInPlace(waiting, demand, tasks * startableShare);
    addInPlace(work, demand, tasks * startableShare * durationMs);
    if (customer !== undefined) {
      let ownWork = customerWork.get(customer);
      if (ownWork === undefined) {
        ownWork = { ...NO_RESOURCES };
        customerWork.set(customer, ownWork);
      }
      addInPlace(ownWork, demand, tasks * durationMs);
    }
  }

  /** Long-running tasks wait for capacity, but how long they run says nothing about when others start. */
  #durationMs(queue: string, { lasting, estimatedMs }: StepSpec): number {
    return lasting ? 0 : this.#estimate.taskMs(queue, estimatedMs);
  }

  /**
   * Work started per millisecond since there is a backlog, within the capacity. Times without a backlog do not count,
   * since the pool was not asked for more.
   */
  #drainRate(
    pool: string,
    { capacity, backlogSince }: PoolState,
    now: number,
  ): Resources {
    const measured = this.#startRates.since(backlogSince ?? now, pool, now);
    return measured === undefined
      ? capacity
      : within(scale(capacity, MIN_DRAIN_SHARE), measured, capacity);
  }

  /**
   * The same for the work of one customer; at least what its weight gives it of the pool's rate. Measured once between
   * two refreshes.
   */
  #customerDrainRate(
    pool: string,
    customer: string,
    { drain, backlogSince, customerDrain }: PoolState,
    now: number,
  ): Resources {
    let rate = customerDrain.get(customer);
    if (rate === undefined) {
      const least = scale(drain, this.#weightShares.get(customer) ?? 1);
      const measured = this.#startRates.since(
        backlogSince ?? now,
        pool,
        now,
        customer,
      );
      rate = measured === undefined ? drain : within(least, measured, drain);
      customerDrain.set(customer, rate);
    }
    return rate;
  }
}

function weightShares(customers: readonly Customer[]): Map<string, number> {
  const sum = customers.reduce((total, { weight }) => total + weight, 0);
  return new Map(
    customers.map(({ name, weight }) => [name, sum === 0 ? 1 : weight / sum]),
  );
}

function capacityOf(jobStore: JobStore, workers: readonly Worker[]): PoolState {
  const capacity = { ...NO_RESOURCES };
  const free = { ...NO_RESOURCES };
  for (const { id, capacity: ofWorker } of workers) {
    addInPlace(capacity, ofWorker);
    addInPlace(free, ofWorker);
    addInPlace(free, jobStore.load(id).reserved, -1);
  }
  return {
    capacity,
    free,
    waiting: { ...NO_RESOURCES },
    work: { ...NO_RESOURCES },
    drain: capacity,
    customerWork: new Map(),
    customerDrain: new Map(),
    backlogSince: undefined,
  };
}

/** A pool without accelerators never runs a task that needs one, so this task keeps nothing else waiting. */
function lacksResource(capacity: Resources, demand: Resources): boolean {
  return capacity.cpuMilli > 0 &&
    (demand.gpus > 0 && capacity.gpus === 0 ||
      demand.memoryMb > 0 && capacity.memoryMb === 0);
}

function hasBacklog({ waiting, free }: PoolState): boolean {
  return RESOURCES.some((resource) =>
    waiting[resource] > Math.max(0, free[resource])
  );
}

function max(values: readonly number[]): number {
  return Math.max(0, ...values);
}

/**
 * Capacity demand of each pool, from the arrival rate of work and the backlog.
 *
 * The demand of one queue after another rises to a multiple of its mean for some seconds; the arrival rate shows such a
 * burst before a backlog builds up.
 *
 * @module
 */
import type { StepSpec } from "../model/batch_job.ts";
import type { DemandTrend } from "./demand_trend.ts";
import type { WaitingStep } from "../model/job_record.ts";
import type { JobStore } from "../store/job_store.ts";
import type { WorkEstimate } from "../order/work_estimate.ts";

/** Window over which arrivals are counted; covers several jobs of a queue of large jobs. */
const WINDOW_MS = 1_000;

/** Shortest span over which a rate is computed; covers several arrivals in a burst of small jobs. */
const MIN_SPAN_MS = 150;

/** Minimum number of arrivals for a rate; fewer may be close together by chance. */
const MIN_ARRIVALS = 3;

/** Time in which the backlog should be started; about the duration of one task. */
const CATCH_UP_MS = 1_000;

interface Arrival {
  at: number;
  coreMs: () => number;
  customer: string | undefined;
}

/** Arrival rates of work by pool. */
export class ArrivalRates {
  readonly #arrivals = new Map<string, Arrival[]>();
  readonly #startedAt: number;

  /** `now` is the beginning of the leadership term; jobs that waited for it arrive together right after. */
  constructor(now: number) {
    this.#startedAt = now;
  }

  /** Records the arrival of a job. `coreMs` estimates what it needs in total, in core-milliseconds, at any later time. */
  record(
    pool: string,
    coreMs: () => number,
    now: number,
    customer?: string,
  ): void {
    const recent = this.#recent(pool, now);
    recent.push({ at: now, coreMs, customer });
    this.#arrivals.set(pool, recent);
  }

  /**
   * Cores that keep up with the arrivals. The span starts at the first recent arrival, so that a burst shows at once.
   * The largest job is left out: one arrival only marks the start of the span, and a single large job is not a rate.
   */
  rate(pool: string, now: number): number {
    const recent = this.#recent(pool, now);
    const [first] = recent;
    if (first === undefined || recent.length < MIN_ARRIVALS) {
      return 0;
    }
    let sum = 0;
    let largest = 0;
    for (const { coreMs } of recent) {
      const estimated = coreMs();
      sum += estimated;
      largest = Math.max(largest, estimated);
    }
    const mayHaveWaited = first.at - this.#startedAt < WINDOW_MS;
    const minSpanMs = mayHaveWaited ? WINDOW_MS : MIN_SPAN_MS;
    return (sum - largest) / Math.max(minSpanMs, now - first.at);
  }

  /** Customers with recent arrivals; undefined among them for anonymous jobs. */
  customers(pool: string, now: number): Set<string | undefined> {
    return new Set(this.#recent(pool, now).map(({ customer }) => customer));
  }

  #recent(pool: string, now: number): Arrival[] {
    const all = this.#arrivals.get(pool) ?? [];
    return all.filter(({ at }) => now - at < WINDOW_MS);
  }
}

/** Demand of a pool, in cores. */
export interface PoolDemand {
  /** Cores that active runs reserve. */
  reserved: number;
  /** Cores that the waiting tasks could use at once. */
  waiting: number;
  /** Cores that keep up with the arrivals and start the backlog in time. */
  wanted: number;
  /** The part of `wanted` for arrivals and for waiting tasks whose job can still meet its objective. */
  urgent: number;
  /** VMs without which a waiting step cannot be spread as it asks for. */
  vms: number;
}

/** Work of waiting steps; the urgent part is of jobs that can still meet their objective. */
interface Backlog {
  coreMs: number;
  urgentCores: number;
  urgentCoreMs: number;
}

function emptyBacklog(): Backlog {
  return { coreMs: 0, urgentCores: 0, urgentCoreMs: 0 };
}

/** Raises what pools want to the forecast of their demand. */
export function anticipate(
  demands: ReadonlyMap<string, PoolDemand>,
  trend: DemandTrend,
  now: number,
): void {
  for (const [pool, demand] of demands) {
    trend.record(pool, demand.reserved + demand.waiting, now);
    demand.wanted = Math.max(demand.wanted, trend.forecast(pool));
  }
}

/** Conditions that limit what of the waiting and arriving work a pool can use. */
export interface DemandLimits {
  /** Whether the job of a step can still meet its objective. */
  isUrgent: (step: WaitingStep) => boolean;
  /** Number of waiting tasks of a step that may start now. */
  startable: (step: WaitingStep) => number;
  /** Cores that a customer may use; Infinity without a limit. */
  capCores: (customer: string | undefined) => number;
}

const NO_LIMITS: DemandLimits = {
  isUrgent: () => true,
  startable: ({ indices }) => indices.size,
  capCores: () => Infinity,
};

/** Demand of each pool of the queue plan. */
export function poolDemands(
  jobStore: JobStore,
  rates: ArrivalRates,
  estimate: WorkEstimate,
  now: number,
  limits = NO_LIMITS,
): Map<string, PoolDemand> {
  const demands = new Map<string, PoolDemand>();
  for (const { name } of jobStore.plan.pools) {
    demands.set(name, {
      reserved: 0,
      waiting: 0,
      wanted: 0,
      urgent: 0,
      vms: 0,
    });
  }
  for (const worker of jobStore.workers.values()) {
    const demand = demands.get(worker.pool);
    if (demand !== undefined) {
      demand.reserved += jobStore.load(worker.id).reserved.cpuMilli / 1_000;
    }
  }
  const backlogs = new Map<string, Backlog>();
  for (const step of jobStore.waiting.values()) {
    const { job, spec } = step;
    const demand = demands.get(job.pool);
    if (demand !== undefined) {
      const cores = limits.startable(step) * spec.demand.cpuMilli / 1_000;
      demand.waiting += cores;
      demand.vms = Math.max(demand.vms, vmsForSpread(spec));
      const coreMs = cores * estimate.taskMs(job.queue, spec.estimatedMs);
      const backlog = backlogs.get(job.pool) ?? emptyBacklog();
      backlogs.set(job.pool, backlog);
      backlog.coreMs += coreMs;
      if (limits.isUrgent(step)) {
        backlog.urgentCores += cores;
        backlog.urgentCoreMs += coreMs;
      }
    }
  }
  for (const [pool, demand] of demands) {
    const backlog = backlogs.get(pool) ?? emptyBacklog();
    const catchUp = backlog.coreMs / CATCH_UP_MS;
    const arriving = Math.min(
      rates.rate(pool, now),
      sumOf(rates.customers(pool, now), limits.capCores),
    );
    demand.wanted = Math.max(
      demand.reserved + Math.min(demand.waiting, catchUp),
      arriving + catchUp,
    );
    const urgent = arriving +
      Math.min(backlog.urgentCores, backlog.urgentCoreMs / CATCH_UP_MS);
    demand.urgent = Math.min(urgent, demand.wanted);
  }
  return demands;
}

function sumOf<T>(items: Iterable<T>, value: (item: T) => number): number {
  let sum = 0;
  for (const item of items) {
    sum += value(item);
  }
  return sum;
}

/** Number of VMs over which a step must be spread. */
function vmsForSpread({ taskCount, maxPerWorker }: StepSpec): number {
  return maxPerWorker === 0 ? 0 : Math.ceil(taskCount / maxPerWorker);
}

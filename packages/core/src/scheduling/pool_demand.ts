/**
 * How much room each pool needs, from the work that arrives and the work that waits.
 *
 * Answers the pattern of queues whose demand rises to a multiple of its mean for some seconds, one after the other: the
 * rate of arrivals tells of a rise before a backlog does.
 *
 * @module
 */
import type { JobBook } from "./job_book.ts";
import type { WorkEstimate } from "./work_estimate.ts";

/** Time constant of the arrival rate, in milliseconds: some ten jobs of a rising queue. */
const RATE_MS = 500;

/** Time in which work that waits should have started, in milliseconds: about one task. */
const CATCH_UP_MS = 1_000;

/** Exponentially weighted rates of arriving work, by pool. */
export class ArrivalRates {
  readonly #rates = new Map<string, { rate: number; at: number }>();

  /** Notes a job whose tasks need so many core-milliseconds. */
  note(pool: string, coreMs: number, now: number): void {
    const rate = this.rate(pool, now) + coreMs / RATE_MS;
    this.#rates.set(pool, { rate, at: now });
  }

  /** Cores that keep up with the arrivals. */
  rate(pool: string, now: number): number {
    const known = this.#rates.get(pool);
    return known === undefined
      ? 0
      : known.rate * Math.exp(-(now - known.at) / RATE_MS);
  }
}

/** What a pool needs, in cores. */
export interface PoolDemand {
  /** Cores that runs reserve. */
  reserved: number;
  /** Cores that the tasks that wait could use at once. */
  waiting: number;
  /** Cores that keep up with arrivals and start what waits in time. */
  wanted: number;
}

/** Demand of every pool of the plan. */
export function poolDemands(
  book: JobBook,
  rates: ArrivalRates,
  estimate: WorkEstimate,
  now: number,
): Map<string, PoolDemand> {
  const demands = new Map<string, PoolDemand>();
  for (const { name } of book.plan.pools) {
    demands.set(name, { reserved: 0, waiting: 0, wanted: 0 });
  }
  for (const worker of book.workers.values()) {
    const demand = demands.get(worker.pool);
    if (demand !== undefined) {
      demand.reserved += book.load(worker.id).reserved.cpuMilli / 1_000;
    }
  }
  const backlogs = new Map<string, number>();
  for (const { job, spec, indices } of book.waiting.values()) {
    const demand = demands.get(job.pool);
    if (demand !== undefined) {
      const cores = indices.size * spec.demand.cpuMilli / 1_000;
      demand.waiting += cores;
      const ms = estimate.taskMs(job.queue, spec.estimatedMs);
      backlogs.set(job.pool, (backlogs.get(job.pool) ?? 0) + cores * ms);
    }
  }
  for (const [pool, demand] of demands) {
    const catchUp = (backlogs.get(pool) ?? 0) / CATCH_UP_MS;
    const arriving = rates.rate(pool, now);
    demand.wanted = Math.max(
      demand.reserved + Math.min(demand.waiting, catchUp),
      arriving + catchUp,
    );
  }
  return demands;
}

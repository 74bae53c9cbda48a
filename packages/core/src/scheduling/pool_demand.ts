/**
 * How much room each pool needs, from the work that arrives and the work that waits.
 *
 * Answers the pattern of queues whose demand rises to a multiple of its mean for some seconds, one after the other: the
 * rate of arrivals tells of a rise before a backlog does.
 *
 * @module
 */
import type { JobBook } from "./job_store.ts";
import type { WorkEstimate } from "./work_estimate.ts";

/** Longest span over which arrivals are counted, in milliseconds: some jobs of a queue of large ones. */
const WINDOW_MS = 1_000;

/** Shortest span that makes a rate, in milliseconds: some arrivals of a rising queue of small jobs. */
const SHORTEST_SPAN_MS = 150;

/** Arrivals that make a rate; fewer come close together by chance. */
const FEWEST_ARRIVALS = 3;

/** Time in which work that waits should have started, in milliseconds: about one task. */
const CATCH_UP_MS = 1_000;

interface Arrival {
  at: number;
  coreMs: number;
}

/** Rates of arriving work, by pool. */
export class ArrivalRates {
  readonly #arrivals = new Map<string, Arrival[]>();

  /** Notes a job whose tasks need so many core-milliseconds. */
  note(pool: string, coreMs: number, now: number): void {
    const recent = this.#recent(pool, now);
    recent.push({ at: now, coreMs });
    this.#arrivals.set(pool, recent);
  }

  /**
   * Cores that keep up with the arrivals, from the first recent one on, so that a rise shows at once. The largest job is
   * left out: it marks the start of the span, and a single one is no rate.
   */
  rate(pool: string, now: number): number {
    const recent = this.#recent(pool, now);
    const [first] = recent;
    if (first === undefined || recent.length < FEWEST_ARRIVALS) {
      return 0;
    }
    let sum = 0;
    let largest = 0;
    for (const { coreMs } of recent) {
      sum += coreMs;
      largest = Math.max(largest, coreMs);
    }
    return (sum - largest) / Math.max(SHORTEST_SPAN_MS, now - first.at);
  }

  #recent(pool: string, now: number): Arrival[] {
    const all = this.#arrivals.get(pool) ?? [];
    return all.filter(({ at }) => now - at < WINDOW_MS);
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

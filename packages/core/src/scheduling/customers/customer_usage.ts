/**
 * Resources of the runs of each customer, across all workers and by pool.
 *
 * A run counts from its placement until its end is certain, so that runs that are being stopped, are on silent workers
 * or were started late still count.
 *
 * @module
 */
import {
  reservation,
  type Resources,
  type StepSpec,
} from "../model/batch_job.ts";
import type { JobRecord } from "../model/job_record.ts";
import { isNothing, NO_RESOURCES, plus } from "../model/resource_sum.ts";

type Owned = Pick<JobRecord, "customer" | "pool">;

/** Name of a customer; undefined for the anonymous jobs together. */
export type Owner = JobRecord["customer"];

export class CustomerUsage {
  readonly #total = new Map<Owner, Resources>();
  readonly #byPool = new Map<string, Map<Owner, Resources>>();

  /** What the runs of a customer demand in all pools. Counts against its cap. */
  of(customer: string): Readonly<Resources> {
    return this.#total.get(customer) ?? NO_RESOURCES;
  }

  /** What the runs of a customer reserve in one pool. Counts as its share of the pool. */
  inPool(customer: Owner, pool: string): Readonly<Resources> {
    return this.#byPool.get(pool)?.get(customer) ?? NO_RESOURCES;
  }

  /** Owners that have runs in a pool, and what these reserve. */
  ownersIn(pool: string): Iterable<readonly [Owner, Readonly<Resources>]> {
    return this.#byPool.get(pool) ?? [];
  }

  /** Counts a run of a job. */
  add(job: Owned, spec: StepSpec): void {
    this.#count(job, spec, 1);
  }

  /** Stops counting a run whose end is certain. */
  remove(job: Owned, spec: StepSpec): void {
    this.#count(job, spec, -1);
  }

  #count({ customer, pool }: Owned, spec: StepSpec, by: 1 | -1): void {
    const ownersInPool = this.#byPool.get(pool) ?? new Map<Owner, Resources>();
    this.#byPool.set(pool, ownersInPool);
    addTo(ownersInPool, customer, reservation(spec), by);
    if (customer !== undefined) {
      addTo(this.#total, customer, spec.demand, by);
    }
  }
}

function addTo(
  usage: Map<Owner, Resources>,
  owner: Owner,
  demand: Resources,
  by: 1 | -1,
): void {
  const sum = plus(usage.get(owner) ?? NO_RESOURCES, demand, by);
  if (isNothing(sum)) {
    usage.delete(owner);
  } else {
    usage.set(owner, sum);
  }
}

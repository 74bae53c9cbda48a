/**
 * Resources that the runs of each customer reserve, across all workers and by pool.
 *
 * A run counts from its placement until its end is certain, so that runs that are being stopped, are on silent workers
 * or were started late still count.
 *
 * @module
 */
import type { Resources, StepSpec } from "./batch_job.ts";
import type { JobRecord } from "./job_record.ts";

type Owned = Pick<JobRecord, "customer" | "pool">;

export class CustomerUsage {
  readonly #total = new Map<string, Resources>();
  readonly #byPool = new Map<string, Map<string, Resources>>();

  /** What the runs of a customer reserve in all pools. */
  of(customer: string): Readonly<Resources> {
    return this.#total.get(customer) ?? NOTHING;
  }

  /** What the runs of a customer reserve in one pool. */
  inPool(customer: string, pool: string): Readonly<Resources> {
    return this.#byPool.get(pool)?.get(customer) ?? NOTHING;
  }

  /** Counts a run of a job; anonymous jobs are not counted. */
  add(job: Owned, spec: StepSpec): void {
    this.#count(job, spec, 1);
  }

  /** Stops counting a run whose end is certain. */
  remove(job: Owned, spec: StepSpec): void {
    this.#count(job, spec, -1);
  }

  #count({ customer, pool }: Owned, { demand }: StepSpec, by: 1 | -1): void {
    if (customer === undefined) {
      return;
    }
    const customersOfPool = this.#byPool.get(pool) ?? new Map();
    this.#byPool.set(pool, customersOfPool);
    addTo(this.#total, customer, demand, by);
    addTo(customersOfPool, customer, demand, by);
  }
}

const NOTHING: Readonly<Resources> = { cpuMilli: 0, memoryMb: 0, gpus: 0 };

function addTo(
  usage: Map<string, Resources>,
  customer: string,
  { cpuMilli, memoryMb, gpus }: Resources,
  by: 1 | -1,
): void {
  const before = usage.get(customer) ?? NOTHING;
  usage.set(customer, {
    cpuMilli: before.cpuMilli + by * cpuMilli,
    memoryMb: before.memoryMb + by * memoryMb,
    gpus: before.gpus + by * gpus,
  });
}

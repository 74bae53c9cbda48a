/**
 * How much of each customer's waiting work its cap allows to start.
 *
 * @module
 */
import { reservation, type Resources } from "../model/batch_job.ts";
import type { JobStore } from "../store/job_store.ts";
import { addInPlace, NO_RESOURCES, RESOURCES } from "../model/resource_sum.ts";

/**
 * Share of a customer's waiting tasks that its cap allows to start. Tasks that wait for their customer's cap do not
 * compete for capacity, so they keep nobody else waiting.
 */
export class StartableShares {
  readonly #shares = new Map<string, number>();

  constructor({ plan, waiting, customerUsage }: JobStore) {
    const demands = new Map<string, Resources>();
    for (const { job, spec, indices } of waiting.values()) {
      if (job.customer !== undefined) {
        const demand = demands.get(job.customer) ?? { ...NO_RESOURCES };
        demands.set(job.customer, demand);
        addInPlace(demand, reservation(spec), indices.size);
      }
    }
    for (const { name, cap } of plan.customers) {
      const demand = demands.get(name);
      const usage = customerUsage.of(name);
      const shares = RESOURCES.map((resource) => {
        const limit = cap[resource];
        const wanted = demand?.[resource] ?? 0;
        return limit === 0 || wanted === 0
          ? 1
          : Math.max(0, limit - usage[resource]) / wanted;
      });
      this.#shares.set(name, Math.min(1, ...shares));
    }
  }

  of(customer: string | undefined): number {
    return customer === undefined ? 1 : this.#shares.get(customer) ?? 1;
  }
}

/**
 * Logs which customers wait for their cap or for their share of a full pool.
 *
 * @module
 */
import type { StepWait, WaitReason } from "@quetzalcove/core/scheduling";
import type { Log } from "../observe/log.ts";

/** Maximum number of lines of one call, so that the log stays readable with some hundred customers. */
const MAX_LINES = 10;

/** Tasks of one customer that wait in a pool for one reason. */
interface CustomerWait {
  /** Undefined for anonymous jobs. */
  customer: string | undefined;
  pool: string;
  reason: WaitReason;
  steps: number;
  tasks: number;
}

/** Logs one line for each customer, pool and reason, those with the most tasks only. */
export function logCustomerWaits(waits: readonly StepWait[], log: Log): void {
  const byReason = new Map<string, CustomerWait>();
  for (const { step: { job }, reason, tasks } of waits) {
    if (reason === "capacity") {
      continue;
    }
    const { customer, pool } = job;
    const key = JSON.stringify([customer ?? null, pool, reason]);
    const wait = byReason.get(key) ??
      { customer, pool, reason, steps: 0, tasks: 0 };
    wait.steps += 1;
    wait.tasks += tasks;
    byReason.set(key, wait);
  }
  [...byReason.values()].sort((a, b) => b.tasks - a.tasks)
    .slice(0, MAX_LINES)
    .forEach((wait) => log.info("customer.waiting", { ...wait }));
}

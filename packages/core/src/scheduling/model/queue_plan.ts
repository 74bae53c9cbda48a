/**
 * The operators' plan of queues and pools. A plan replaces the previous one as a whole if its version is higher.
 *
 * @module
 */
import { z } from "zod";
import { type Fault, fault } from "../../fault.ts";
import { Err, type Result } from "../../result.ts";
import { checkCustomers, Customer } from "./customer.ts";

/** A queue: requests under one host and path prefix become jobs on one pool. */
export const Queue = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  pool: z.string(),
  /** 0 is the highest. */
  priority: z.number().int().nonnegative(),
  /** Number of failed runs of a task, or of a gang, at which its job fails. */
  maxAttempts: z.number().int().positive(),
  /** A job's objective is this factor times its critical path, plus the target latency. */
  slackFactor: z.number().positive(),
  targetLatencyMs: z.number().nonnegative(),
  /** Timeout of callers' requests. */
  timeoutMs: z.number().positive(),
  /** Whether an external advisor decides which workers may run a step. */
  advised: z.boolean(),
  /** Whether calls without an API key are allowed although the plan has customers. */
  allowsAnonymous: z.boolean().default(false),
});
export type Queue = z.infer<typeof Queue>;

/** How the jobs of a queue are run. */
export const JobPolicy = Queue.pick({
  priority: true,
  maxAttempts: true,
  slackFactor: true,
  targetLatencyMs: true,
  advised: true,
});
export type JobPolicy = z.infer<typeof JobPolicy>;

/** The policy of a queue, without what concerns its requests. */
export function policyOf(queue: JobPolicy): JobPolicy {
  const { priority, maxAttempts, slackFactor, targetLatencyMs, advised } =
    queue;
  return { priority, maxAttempts, slackFactor, targetLatencyMs, advised };
}

/** A pool of VMs of one service. */
export const PoolPlan = z.object({
  name: z.string(),
  /** Whether its workers refuse tasks that exceed their capacity. */
  enforcesCapacity: z.boolean(),
  /** Whether its VMs are switched off and free of charge. */
  standby: z.boolean(),
});
export type PoolPlan = z.infer<typeof PoolPlan>;

export const QueuePlan = z.object({
  version: z.number().int().nonnegative(),
  queues: z.array(Queue),
  pools: z.array(PoolPlan),
  /** Empty if callers are not told apart. */
  customers: z.array(Customer).default([]),
  /** Largest body of a submission, in bytes; undefined if the operators set none. */
  maxBodyBytes: z.number().int().positive().optional(),
  /** The document as the operator sent it, returned unchanged. */
  source: z.string(),
});
export type QueuePlan = z.infer<typeof QueuePlan>;

export function emptyQueuePlan(): QueuePlan {
  return { version: 0, queues: [], pools: [], customers: [], source: "" };
}

/** Adds the fields that a plan stored by an earlier version does not have. */
export function upgradePlan(plan: z.input<typeof QueuePlan>): QueuePlan {
  return {
    ...plan,
    queues: plan.queues.map((queue) => ({ allowsAnonymous: false, ...queue })),
    customers: plan.customers ?? [],
  };
}

/** Checks references and uniqueness; the fault names the first invalid queue or customer. */
export function checkQueuePlan(plan: QueuePlan): Result<void, Fault> {
  const pools = new Set(plan.pools.map(({ name }) => name));
  const prefixes = new Set<string>();
  for (const { name, host, pathPrefix, pool } of plan.queues) {
    if (!pools.has(pool)) {
      return Err(
        fault("invalid", `Queue "${name}" names unknown pool "${pool}"`),
      );
    }
    const key = `${host} ${pathPrefix}`;
    if (prefixes.has(key)) {
      return Err(
        fault(
          "invalid",
          `Queue "${name}" shares host "${host}" and prefix "${pathPrefix}" with another queue`,
        ),
      );
    }
    prefixes.add(key);
  }
  return checkCustomers(plan.customers);
}

/**
 * Whether a queue's path prefix is a directory and every job directly below it belongs to the queue, so that the
 * directory of a job's path tells its queue.
 */
export function ownsDirectory({ queues }: QueuePlan, queue: Queue): boolean {
  const { host, pathPrefix } = queue;
  const isShared = queues.some((other) => {
    const rest = other.pathPrefix.slice(pathPrefix.length);
    return other.host === host && other.pathPrefix.startsWith(pathPrefix) &&
      rest !== "" && !rest.includes("/");
  });
  return pathPrefix.endsWith("/") && !isShared;
}

/** The queue of a request: that of its host with the longest matching path prefix. */
export function findQueue(
  { queues }: QueuePlan,
  host: string,
  path: string,
): Queue | undefined {
  let best: Queue | undefined;
  for (const queue of queues) {
    const matches = queue.host === host && path.startsWith(queue.pathPrefix);
    const isLonger = best === undefined ||
      queue.pathPrefix.length > best.pathPrefix.length;
    if (matches && isLonger) {
      best = queue;
    }
  }
  return best;
}

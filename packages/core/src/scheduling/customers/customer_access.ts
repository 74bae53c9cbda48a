/**
 * Who may call a queue, and which jobs exist for a caller.
 *
 * @module
 */
import { type Fault, fault } from "../../fault.ts";
import { Err, Ok, type Result } from "../../result.ts";
import type { Queue, QueuePlan } from "../model/queue_plan.ts";

/** What a call is allowed to. */
export interface CallerAccess {
  /** Name of the calling customer; undefined for an anonymous call or a plan without customers. */
  customer: string | undefined;
  /** Whether it sees the jobs of every customer: the plan has no customers. */
  seesAllJobs: boolean;
}

/** Names of the customers by the digests of their keys, by plan; a plan is never changed in place. */
const customersByKey = new WeakMap<QueuePlan, ReadonlyMap<string, string>>();

/**
 * Decides whether a call is allowed, and for which customer. An unknown key is refused on every queue, also where a
 * key is not required or where no queue matches the call.
 */
export function decideAccess(
  plan: QueuePlan,
  queue: Pick<Queue, "name" | "allowsAnonymous"> | undefined,
  keyDigest: string | undefined,
): Result<CallerAccess, Fault> {
  if (plan.customers.length === 0) {
    return Ok({ customer: undefined, seesAllJobs: true });
  }
  if (keyDigest === undefined) {
    return queue?.allowsAnonymous === false
      ? Err(
        unauthenticatedFault(`Queue "${queue.name}" requires an API key`),
      )
      : Ok({ customer: undefined, seesAllJobs: false });
  }
  const customer = keyIndex(plan).get(keyDigest);
  return customer === undefined
    ? Err(unknownKeyFault())
    : Ok({ customer, seesAllJobs: false });
}

/** Whether a job exists for a caller. Jobs without an owner exist for everyone whom their queue admits. */
export function isVisibleTo(
  { customer, seesAllJobs }: CallerAccess,
  job: { customer?: string | undefined },
): boolean {
  return seesAllJobs || job.customer === undefined || job.customer === customer;
}

export function unknownKeyFault(): Fault {
  return unauthenticatedFault("The API key is unknown");
}

function unauthenticatedFault(message: string): Fault {
  return fault("unauthenticated", message, { outcome: "not run" });
}

function keyIndex(plan: QueuePlan): ReadonlyMap<string, string> {
  let index = customersByKey.get(plan);
  if (index === undefined) {
    index = new Map(
      plan.customers.flatMap(({ name, keyDigests }) =>
        keyDigests.map((keyDigest) => [keyDigest, name] as const)
      ),
    );
    customersByKey.set(plan, index);
  }
  return index;
}

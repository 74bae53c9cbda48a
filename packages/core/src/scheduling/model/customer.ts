/**
 * Customers that share the pools of a queue plan.
 *
 * @module
 */
import { z } from "zod";
import { type Fault, fault } from "../../fault.ts";
import { Err, Ok, type Result } from "../../result.ts";
import { Resources } from "./batch_job.ts";

export const Customer = z.object({
  name: z.string(),
  /** SHA-256 digests of its API keys, in hexadecimal. The keys themselves are secrets. */
  keyDigests: z.array(z.string()),
  /** Its share of a full pool relative to other customers; also the jobs per second that it may count on. */
  weight: z.number().nonnegative(),
  /** What it may have running across all queues and workers; 0 means no limit on a resource. */
  cap: Resources,
});
export type Customer = z.infer<typeof Customer>;

/** Checks that names and keys are unique. The fault names the customers, but neither a key nor a digest. */
export function checkCustomers(
  customers: readonly Customer[],
): Result<void, Fault> {
  const names = new Set<string>();
  const owners = new Map<string, string>();
  for (const { name, keyDigests } of customers) {
    if (names.has(name)) {
      return Err(fault("invalid", `Customer "${name}" is listed twice`));
    }
    names.add(name);
    for (const keyDigest of keyDigests) {
      const owner = owners.get(keyDigest) ?? name;
      if (owner !== name) {
        return Err(
          fault("invalid", `Customers "${owner}" and "${name}" share a key`),
        );
      }
      owners.set(keyDigest, name);
    }
  }
  return Ok.EMPTY;
}

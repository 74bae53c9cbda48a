/**
 * Customers that share the pools of a queue plan.
 *
 * @module
 */
import { z } from "zod";
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

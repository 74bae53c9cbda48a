/**
 * The operators' rules for jobs.
 *
 * @module
 */
import { z } from "zod";

export const JobRules = z.strictObject({
  /** Share of each VM that jobs leave free in a pool that also runs a service. */
  serviceShare: z.number().min(0).max(1).default(0.5),
  /** Share of each VM that overnight jobs leave free for live work. */
  liveShare: z.number().min(0).max(1).default(0.2),
});
export type JobRules = z.infer<typeof JobRules>;

/**
 * The operators' rules for jobs.
 *
 * @module
 */
import { z } from "zod";

export const JobRules = z.strictObject({
  serviceShare: z.number().min(0).max(1).default(0.5).describe(
    "Share of each VM that jobs leave free in a pool that also runs a service.",
  ),
  liveShare: z.number().min(0).max(1).default(0.2).describe(
    "Share of each VM that overnight jobs leave free for live work.",
  ),
});
export type JobRules = z.infer<typeof JobRules>;

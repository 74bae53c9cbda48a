/**
 * What a node tells operators about itself.
 *
 * @module
 */
import { z } from "zod";

const Count = z.number().int();

/** A pool as the leader sees it. */
export const PoolStatus = z.object({
  name: z.string(),
  workers: Count,
  /** Workers that may get work. */
  usable: Count,
  reservedCores: Count,
  /** Cores that waiting tasks could use at once. */
  waitingCores: Count,
  /** Cores that would keep up with arrivals and start what waits in time. */
  wantedCores: Count,
});

export const LeadershipTermStatus = z.object({
  term: Count,
  pools: z.array(PoolStatus),
});
export type LeadershipTermStatus = z.infer<typeof LeadershipTermStatus>;

export const NodeStatus = z.object({
  node: z.string(),
  zone: z.string(),
  isReady: z.boolean(),
  /** Node that leads, as far as this one knows. */
  leader: z.string().optional(),
  replicas: z.array(z.object({
    replica: z.string(),
    role: z.enum(["leader", "follower", "learner"]),
    caughtUp: z.boolean(),
  })),
  /** Version of the plan, and how many jobs are open and waves under way here. */
  plan: Count.optional(),
  openJobs: Count.optional(),
  openWaves: Count.optional(),
  /** Undefined at nodes that do not lead. */
  tenure: LeadershipTermStatus.optional(),
});
export type NodeStatus = z.infer<typeof NodeStatus>;

/**
 * Status of a node, for operators.
 *
 * @module
 */
import { z } from "zod";
import { Build, PeerBuild } from "./build.ts";
import { CustomerStatus } from "./customer_status.ts";

const Count = z.number().int();

/** A pool as the leader sees it. */
export const PoolStatus = z.object({
  name: z.string(),
  workers: Count,
  /** Workers that may get new runs. */
  usable: Count,
  reservedCores: Count,
  /** Cores that waiting tasks could use right away. */
  waitingCores: Count,
  /** Cores needed to keep up with arrivals and to start waiting tasks in time. */
  wantedCores: Count,
});

export const LeadershipTermStatus = z.object({
  term: Count,
  /** Hosts of the replicas that relay calls to workers. */
  relays: z.array(z.string()).default([]),
  pools: z.array(PoolStatus),
  /** Customers of the plan, the largest weight first. */
  customers: z.array(CustomerStatus).default([]),
});
export type LeadershipTermStatus = z.infer<typeof LeadershipTermStatus>;

export const NodeStatus = z.object({
  node: z.string(),
  zone: z.string(),
  /** Build that the node runs; undefined if it does not tell. */
  build: Build.optional(),
  /** Nodes that are connected to this one and run another build. */
  otherBuilds: z.array(PeerBuild).default([]),
  /** Keys of the settings file that the node does not know. */
  ignoredSettings: z.array(z.string()).default([]),
  isReady: z.boolean(),
  /** The leader, as far as this node knows. */
  leader: z.string().optional(),
  replicas: z.array(z.object({
    replica: z.string(),
    role: z.enum(["leader", "follower", "learner"]),
    caughtUp: z.boolean(),
    /** Time since its last answer to this leader; undefined on other nodes, and for the leader itself. */
    silentMs: Count.optional(),
  })),
  /** Version of the queue plan; undefined, like the counts of open jobs and waves, on nodes without a replica. */
  plan: Count.optional(),
  openJobs: Count.optional(),
  openWaves: Count.optional(),
  /** Undefined on nodes that do not lead. */
  tenure: LeadershipTermStatus.optional(),
});
export type NodeStatus = z.infer<typeof NodeStatus>;

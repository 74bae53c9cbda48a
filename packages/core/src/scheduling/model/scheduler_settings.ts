/**
 * Settings of a scheduler node: an entry for requests, a replica that may become leader, or both.
 *
 * @module
 */
import { z } from "zod";
import type { Fault } from "../../fault.ts";
import { Address, DurationMs, Name } from "../../names.ts";
import type { Result } from "../../result.ts";
import { parseTolerantly, type TolerantResult } from "../../tolerant_parse.ts";
import { parse } from "../../validate.ts";

const Count = z.number().int().positive();
const Bytes = z.number().int().positive();

const Listen = z.strictObject({
  service: Address.optional().describe("Customers' requests."),
  health: Address.optional().describe("Readiness for the balancer."),
  control: Address.optional().describe("Operators and workers."),
  link: Address.describe("Links from the other nodes."),
  metrics: Address.describe("Counters and latency histograms."),
});

const Raft = z.strictObject({
  heartbeatMs: DurationMs.default(100).describe(
    "Interval of the leader's heartbeats; a fifth of the election timeout.",
  ),
  electionMinMs: DurationMs.default(500).describe(
    "Shortest time without a leader before an election; above the pauses of a throttled VM.",
  ),
  snapshotEveryEntries: Count.default(2_000).describe(
    "Log entries between two snapshots, which a restarted replica applies before it can lead.",
  ),
  voters: Count.default(5).describe(
    "Voters to keep; five survive the loss of two disks.",
  ),
  lostAfterMs: DurationMs.default(1_000).describe(
    "Silence after which a voter is replaced, if another replica can take its place; it joins again if it answers later.",
  ),
  catchUpSeconds: z.number().positive().default(4).describe(
    "Time after its start within which a replica has to be able to stand in for a lost one, from the platform.",
  ),
});

const Link = z.strictObject({
  heartbeatMs: DurationMs.default(500).describe(
    "Interval of heartbeats on a connection that carries nothing else.",
  ),
  idleMs: DurationMs.default(1_500).describe(
    "Silence after which a connection is replaced; three heartbeats.",
  ),
  maxQueuedBytes: Bytes.default(8_388_608).describe(
    "Most bytes that wait to be sent to one peer.",
  ),
  maxMessageBytes: Bytes.default(4_194_304).describe(
    "Largest message that is read.",
  ),
});

const WorkerSettings = z.strictObject({
  leaseMs: DurationMs.default(4_000).describe(
    "Lease of what runs on a worker; spans an election and two renewals.",
  ),
  maxLeaseMs: DurationMs.default(10_000).describe(
    "Longest lease that workers grant, from the platform.",
  ),
  renewalWaitMs: DurationMs.default(1_500).describe(
    "How long a renewal waits at the worker for the end of a run.",
  ),
  callTimeoutMs: DurationMs.default(1_000).describe(
    "Deadline of a call beyond the time that it waits at the worker.",
  ),
  orderTimeoutMs: DurationMs.default(300).describe(
    "Deadline of an order to a worker, after which it is sent again; a worker carries it out once.",
  ),
  hedgeAfterMs: DurationMs.nullable().default(null).describe(
    "Time without an answer after which a start, stop or renewal is sent again on another connection; null for never.",
  ),
  pauseUnanswered: z.boolean().default(false).describe(
    "Whether a worker that leaves an order unanswered gets no new runs until it answers one.",
  ),
  avoidSlow: z.boolean().default(false).describe(
    "Whether workers whose runs take longer than on other workers get only work that has slack.",
  ),
  stopMs: DurationMs.default(200).describe(
    "Longest time that a worker takes to stop a run, from the platform.",
  ),
  contactMs: DurationMs.default(3_000).describe(
    "Silence after which a worker gets no new work.",
  ),
  relayFromWorkers: Count.default(64).describe(
    "Number of workers from which other replicas relay the leader's calls to them.",
  ),
});

const PlacementSettings = z.strictObject({
  lookAhead: z.enum(["never", "customers", "always"]).default("customers")
    .describe(
      "Whether large steps reserve workers and tasks wait for the rack of their data: for plans with customers, always or never.",
    ),
  remoteFactor: z.number().min(1).default(2).describe(
    "Factor by which a task takes longer away from the rack of its data.",
  ),
});

const Limits = z.strictObject({
  maxHeaderBytes: Bytes.default(16_384).describe("Largest request header."),
  maxBodyBytes: Bytes.default(1_048_576).describe(
    "Largest request body; a plan of some thousand queues.",
  ),
  headersTimeoutMs: DurationMs.default(3_000).describe(
    "Deadline for a request's header.",
  ),
  requestTimeoutMs: DurationMs.default(10_000).describe(
    "Deadline for a whole request.",
  ),
  keepAliveMs: DurationMs.default(60_000).describe(
    "How long an idle connection of a caller stays open.",
  ),
  maxConnections: Count.default(2_000).describe("Connections of callers."),
  answerTimeoutMs: DurationMs.default(30_000).describe(
    "How long a caller may read nothing of an answer before its connection is closed.",
  ),
  memoryMb: z.number().positive().nullable().default(null).describe(
    "Memory of the machine in MB, from the platform, a part of which callers may take; as the system says if null.",
  ),
  diskMb: z.number().nonnegative().nullable().default(null).describe(
    "Size of the disk with the data folder in MB, from the platform; 0 or null if it is not known.",
  ),
  jobHeapShare: z.number().positive().max(0.5).default(0.2).describe(
    "Share of a replica's heap that jobs may take; loading, snapshots and the leader's own records need the rest.",
  ),
});

const Pools = z.strictObject({
  reclaim: z.boolean().default(false).describe(
    "Whether a pool with a backlog gives up busy VMs to pools whose jobs can still meet their objective.",
  ),
});

export const SchedulerSettings = z.strictObject({
  cluster: Name.describe("Name of the cluster; links refuse another one."),
  node: Name.describe("Name of this node in logs and orders."),
  host: z.string().describe("IP address of this node."),
  zone: Name.describe("Availability zone of this node."),
  listen: Listen.describe("Addresses of this node."),
  seeds: z.array(Address).min(1).describe(
    "Addresses of replicas to start from; links use the port of this node's own.",
  ),
  firstStart: z.boolean().default(false).describe(
    "Whether the cluster starts for the first time; the seeds are its first voters.",
  ),
  dataFolder: z.string().min(1).nullable().default(null).describe(
    "Folder for the replicated state; a node without one is an entry only.",
  ),
  raft: Raft.prefault({}).describe("Replication."),
  link: Link.prefault({}).describe("Connections between nodes."),
  workers: WorkerSettings.prefault({}).describe("Orders to workers."),
  pools: Pools.prefault({}).describe("Division of VMs among pools."),
  placement: PlacementSettings.prefault({}).describe("Choice of workers."),
  fleet: Address.nullable().default(null).describe(
    "Where the platform lists and moves VMs; null where it does not.",
  ),
  advisor: Address.nullable().default(null).describe(
    "Where advice on workers is asked for; null where there is none.",
  ),
  limits: Limits.prefault({}).describe("Bounds on callers."),
  callTimeoutMs: DurationMs.default(2_500).describe(
    "Deadline of a call at the leader; below the callers' three seconds.",
  ),
  graceSeconds: z.number().positive().default(6).describe(
    "Time from the signal to stop until the process is killed, from the platform.",
  ),
  statusSeconds: z.number().positive().default(120).describe(
    "How long callers may ask for the outcome of a job, from the platform.",
  ),
  retentionMs: DurationMs.default(180_000).describe(
    "How long the outcome of a job is kept; half as long again as callers may ask for it, or longer.",
  ),
  logLevel: z.enum(["debug", "info", "warn", "error"]).default("info").describe(
    "Least severe events that are logged.",
  ),
});
export type SchedulerSettings = z.infer<typeof SchedulerSettings>;

/** Share of the time to catch up in which the loss of a voter is noticed; the rest is for the new replica to join. */
const LOSS_SHARE_OF_CATCH_UP = 0.25;

/** Retention of outcomes as a multiple of the time in which callers may ask for them. */
const RETENTION_FACTOR = 1.5;

/** Checks settings, and adapts them to the platform's bounds. The fault lists each invalid value and each unknown key. */
export function checkSchedulerSettings(
  value: unknown,
  fileName: string,
): Result<SchedulerSettings, Fault> {
  return parse(SchedulerSettings, value, fileName).map(adaptToPlatform);
}

/** As `checkSchedulerSettings`, for a start: leaves out keys of another version (`parseTolerantly`). */
export function readSchedulerSettings(
  value: unknown,
  fileName: string,
): Result<TolerantResult<SchedulerSettings>, Fault> {
  return parseTolerantly(SchedulerSettings, value, fileName)
    .map(({ value: settings, ignored }) => ({
      value: adaptToPlatform(settings),
      ignored,
    }));
}

/**
 * Limits `leaseMs` to `maxLeaseMs`, and `lostAfterMs` to a share of `catchUpSeconds`; raises
 * `retentionMs` to a multiple of `statusSeconds`.
 */
function adaptToPlatform(settings: SchedulerSettings): SchedulerSettings {
  const { leaseMs, maxLeaseMs } = settings.workers;
  const { lostAfterMs, catchUpSeconds } = settings.raft;
  return {
    ...settings,
    retentionMs: Math.max(
      settings.retentionMs,
      settings.statusSeconds * 1_000 * RETENTION_FACTOR,
    ),
    raft: {
      ...settings.raft,
      lostAfterMs: Math.min(
        lostAfterMs,
        catchUpSeconds * 1_000 * LOSS_SHARE_OF_CATCH_UP,
      ),
    },
    workers: { ...settings.workers, leaseMs: Math.min(leaseMs, maxLeaseMs) },
  };
}

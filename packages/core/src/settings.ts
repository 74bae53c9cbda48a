/**
 * The settings of one daemon: its name and addresses, its peers and its limits, with all defaults.
 *
 * @module
 */
import { z } from "zod";
import { Address, DurationMs, Name } from "./names.ts";

const Count = z.number().int().positive();
const Bytes = z.number().int().positive();
const Share = z.number().min(0).max(1);

const Listen = z.strictObject({
  service: Address.describe("Callers' requests, behind the balancer."),
  admin: Address.describe("Administration API, metrics and health checks."),
  link: Address.describe("Links from the other daemons."),
});

/** Another daemon of the cluster, or this one. */
export const Peer = z.strictObject({
  entry: Name.describe("Name of the daemon."),
  zone: Name.describe("Availability zone of the daemon."),
  link: Address.describe("Address of its links."),
  admin: Address.describe("Address of its administration API."),
  replica: z.boolean().default(false).describe(
    "Whether it holds the replicated state.",
  ),
});
export type Peer = z.infer<typeof Peer>;

const Lease = z.strictObject({
  durationMs: DurationMs.default(3_000).describe(
    "How long an entry may serve from its view after it sent a renewal.",
  ),
  renewEveryMs: DurationMs.default(800).describe("Interval of renewals."),
  driftMarginMs: DurationMs.default(500).describe(
    "How much longer the leader waits before it takes a lease as ended.",
  ),
});

const Raft = z.strictObject({
  heartbeatMs: DurationMs.default(150).describe(
    "Interval of the leader's heartbeats.",
  ),
  electionMinMs: DurationMs.default(600).describe(
    "Shortest time without a leader before an election; the longest is twice as long.",
  ),
  snapshotEveryEntries: Count.default(2_000).describe(
    "Log entries between two snapshots.",
  ),
});

const Link = z.strictObject({
  heartbeatMs: DurationMs.default(700).describe(
    "Interval of heartbeats on a connection that carries nothing else.",
  ),
  idleMs: DurationMs.default(2_000).describe(
    "Silence after which a connection is closed and replaced.",
  ),
  callTimeoutMs: DurationMs.default(2_000).describe(
    "Deadline of a call between daemons.",
  ),
  maxQueuedBytes: Bytes.default(8_388_608).describe(
    "Most bytes that wait to be sent to one peer.",
  ),
  maxMessageBytes: Bytes.default(4_194_304).describe(
    "Largest message that is read.",
  ),
});

const Targets = z.strictObject({
  announceEveryMs: DurationMs.default(1_000).describe(
    "Interval at which targets are told to announce themselves.",
  ),
  expireMs: DurationMs.default(3_000).describe(
    "Silence after which a target receives no new work; it grows with the interval.",
  ),
  maxPerSecond: Count.default(20).describe(
    "Announcements that one entry takes in a second; with more targets the interval grows.",
  ),
});

const Forward = z.strictObject({
  connectTimeoutMs: DurationMs.default(500).describe(
    "Deadline for a connection to a target.",
  ),
  keepAliveMs: DurationMs.default(4_000).describe(
    "How long an idle connection to a target stays open.",
  ),
  maxRequestBytes: Bytes.default(16_777_216).describe(
    "Largest request body; a service may set less.",
  ),
  maxAnswerBytes: Bytes.default(67_108_864).describe(
    "Largest answer body; a service may set less.",
  ),
  maxBufferedBytes: Bytes.default(268_435_456).describe(
    "Most bytes of requests and answers held at once.",
  ),
});

const Ledger = z.strictObject({
  retentionMs: DurationMs.default(86_400_000).describe(
    "How long the answer of a request is kept for repeats of its key.",
  ),
  maxStoredAnswerBytes: Bytes.default(65_536).describe(
    "Largest answer that is kept whole; of a larger one only the outcome is kept.",
  ),
});

const Log = z.strictObject({
  level: z.enum(["error", "warn", "info", "debug"]).default("info").describe(
    "Least severe events that are written.",
  ),
  file: z.string().min(1).optional().describe(
    "File for the log; standard error when absent.",
  ),
});

const Traces = z.strictObject({
  folder: z.string().min(1).optional().describe(
    "Folder for span files; none are written when absent.",
  ),
  otlpUrl: z.url({ protocol: /^https?$/ }).optional().describe(
    "OTLP/HTTP receiver of spans; none are sent when absent.",
  ),
  sampleShare: Share.default(1).describe("Share of requests that are traced."),
});

const Limits = z.strictObject({
  maxHeaderBytes: Bytes.default(16_384).describe(
    "Largest header of a request.",
  ),
  maxConnections: Count.default(4_096).describe(
    "Most connections of callers at once.",
  ),
  headersTimeoutMs: DurationMs.default(10_000).describe(
    "Deadline for the header of a request.",
  ),
  requestTimeoutMs: DurationMs.default(30_000).describe(
    "Deadline for a request to arrive whole.",
  ),
  keepAliveMs: DurationMs.default(65_000).describe(
    "How long an idle connection of a caller stays open.",
  ),
  answerTimeoutMs: DurationMs.default(30_000).describe(
    "How long a caller may read nothing of an answer before its connection is closed.",
  ),
  memoryMb: z.number().positive().nullable().default(null).describe(
    "Memory of the machine in MB, a part of which callers may take; as the system says if null.",
  ),
  maxAdminBytes: Bytes.default(1_048_576).describe(
    "Largest body of a request to the administration API.",
  ),
});

const Stop = z.strictObject({
  noticeMs: DurationMs.default(3_000).describe(
    "How long the health check fails before the daemon stops accepting.",
  ),
  graceMs: DurationMs.default(30_000).describe(
    "How long requests in progress may take to end.",
  ),
});

/** The settings of one daemon. */
export const Settings = z.strictObject({
  cluster: Name.describe("Name of the cluster; links refuse another one."),
  entry: Name.describe("Name of this daemon."),
  zone: Name.describe("Availability zone of this daemon."),
  region: Name.default("default").describe("Region of this daemon."),
  listen: Listen.describe("Addresses of this daemon."),
  peers: z.array(Peer).default([]).describe(
    "All daemons of the cluster; empty for a single process.",
  ),
  dataFolder: z.string().min(1).optional().describe(
    "Folder for the replicated state; a daemon without one is an entry only.",
  ),
  lease: Lease.prefault({}).describe("Leases of entries."),
  raft: Raft.prefault({}).describe("Replication."),
  link: Link.prefault({}).describe("Connections between daemons."),
  targets: Targets.prefault({}).describe("Announcements of targets."),
  forward: Forward.prefault({}).describe("Requests to targets."),
  ledger: Ledger.prefault({}).describe(
    "Requests that must not be repeated.",
  ),
  log: Log.prefault({}).describe("Log of events."),
  traces: Traces.prefault({}).describe("Spans of requests."),
  limits: Limits.prefault({}).describe("Bounds on callers and operators."),
  stop: Stop.prefault({}).describe("Graceful shutdown."),
});
export type Settings = z.infer<typeof Settings>;

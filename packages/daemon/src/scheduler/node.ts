/**
 * One scheduler node: an entry node that calls the leader and, if it has a data folder, a replica that may lead.
 *
 * @module
 */
import { getHeapStatistics } from "node:v8";
import {
  type CallerMemory,
  Err,
  type Fault,
  fault,
  Ok,
  parse,
  RaftMessage,
  type Result,
} from "@quetzalcove/core";
import {
  jobLimitBytes,
  type JobRecord,
  type JobStore,
  type JobStoreCommand,
  type JobStoreOutput,
  type RelayCandidate,
} from "@quetzalcove/core/scheduling";
import { createCallerMemory } from "../callers/caller_limits.ts";
import { type Clock, systemClock } from "../clock.ts";
import { DynamicMembershipController } from "../consensus/dynamic_membership_controller.ts";
import { transferLeadership } from "../consensus/leadership_transfer.ts";
import { type ContactTimes, RaftDriver } from "../consensus/raft_driver.ts";
import { LeaderClient } from "../entry/leader_client.ts";
import { type Component, Lifecycle } from "../lifecycle.ts";
import type {
  Connection,
  ConnectionParts,
  Handler,
} from "../link/connection.ts";
import { Hello } from "../link/hello.ts";
import { LinkPool } from "../link/link_pool.ts";
import { LinkServer } from "../link/server.ts";
import { hostAndPort } from "../net.ts";
import { errorMessage, type Log } from "../observe/log.ts";
import { LoadMonitor } from "../observe/load_monitor.ts";
import { Metrics } from "../observe/metrics.ts";
import { registerProcessGauges } from "../observe/process_gauges.ts";
import { runtimeCounters } from "../observe/runtime_counters.ts";
import type { ReplicaFolder } from "../replica_folder.ts";
import { type Build, PeerBuilds, UNKNOWN_BUILD } from "./build.ts";
import { leadershipConfirmer } from "./leadership_confirmer.ts";
import { CallRelay, CallRouter, RELAY_METHODS } from "./call_relay/mod.ts";
import { registerCustomerMetrics } from "./customer_metrics.ts";
import { jobStateMachine } from "./job_state_machine.ts";
import {
  type GroupDescription,
  ReplicaDiscovery,
} from "./replica_discovery.ts";
import { LeaderApi } from "./leader_api.ts";
import { LeaderController } from "./leader_controller.ts";
import { MemoryAdmission } from "./memory_admission.ts";
import type { Method, Params } from "./methods.ts";
import type {
  AdvisorClient,
  VmClient,
  WorkerClient,
} from "./platform_clients.ts";
import { openSchedulerFolder } from "./scheduler_folder.ts";
import type { NodeStatus } from "./status.ts";
import type { SchedulerSettings } from "@quetzalcove/core/scheduling";
import { WorkerReports } from "./worker_reports.ts";

type JobReplica = RaftDriver<JobStore, JobStoreCommand, JobStoreOutput>;

/** Settings of a node, and its clients for the platform it runs on. */
export interface NodeParts {
  settings: SchedulerSettings;
  log: Log;
  /** Build that the process runs; unknown unless given. */
  build?: Build;
  /** Keys of the settings file that the program does not know. */
  ignoredSettings?: readonly string[];
  workerClient: WorkerClient;
  /** Undefined if the platform has no VM API. */
  vmClient: VmClient | undefined;
  /** Undefined if no advisor is configured. */
  advisorClient: AdvisorClient | undefined;
}

/**
 * Longest delay of a call on its way to a relay, as a share of the shortest election timeout. Together with the lease
 * under which the leader sends, it ends before another replica can be elected.
 */
const RELAY_DELAY_SHARE = 0.5;

const BYTES_PER_MB = 1_000_000;

/** Below the second after which workers try another replica. */
const REPORT_TIMEOUT_MS = 900;

/** Silence after which a learner is removed: much longer than any pause from which a learner recovers. */
const LEARNER_LOST_AFTER_MS = 30_000;

export class SchedulerNode {
  readonly metrics = new Metrics();
  /** Memory for the callers of all servers of this node. */
  readonly callerMemory: CallerMemory;
  readonly #parts: NodeParts;
  readonly #build: Build;
  readonly #peerBuilds: PeerBuilds;
  readonly #clock: Clock = systemClock;
  readonly #handlers = new Map<string, Handler>();
  readonly #runtime = runtimeCounters();
  readonly #load: LoadMonitor;
  readonly #linkPool: LinkPool;
  readonly #lifecycle: Lifecycle;
  #leaderClient: LeaderClient;
  readonly #discovery: ReplicaDiscovery;
  #replica: JobReplica | undefined;
  #membershipController: DynamicMembershipController | undefined;
  #leaderController: LeaderController | undefined;
  #workerReports: WorkerReports | undefined;
  /** Called on a fatal failure; the process must exit. */
  onFailure: (cause: Fault) => void = () => {};

  constructor(parts: NodeParts) {
    const { settings, log, build = UNKNOWN_BUILD } = parts;
    const { cluster, host, listen } = settings;
    this.#parts = parts;
    this.#build = build;
    registerProcessGauges(this.metrics);
    this.#peerBuilds = new PeerBuilds(build, this.metrics, log);
    this.metrics.gauge(
      "quetzalcove_settings_ignored_keys",
      () => parts.ignoredSettings?.length ?? 0,
    );
    this.callerMemory = createCallerMemory(
      settings.limits.memoryMb,
      this.metrics,
    );
    this.#load = new LoadMonitor({
      clock: this.#clock,
      log,
      metrics: this.metrics,
      runtime: this.#runtime,
    });
    this.#linkPool = new LinkPool({
      ...this.#connectionParts(),
      log,
      localHost: host,
      hello: { cluster, entry: host, build: build.id },
    }, hostAndPort(listen.link).port);
    this.#discovery = new ReplicaDiscovery(
      this.#linkPool,
      this.#otherSeeds,
      this.#clock,
      log,
    );
    this.#leaderClient = this.#createLeaderClient(false);
    this.#lifecycle = new Lifecycle((component, error) => {
      log.error("component.stop_failed", {
        component,
        reason: errorMessage(error),
      });
    });
  }

  /** Host of the leader as of the last call to it. */
  get leaderHost(): string | undefined {
    return this.#leaderClient.leader;
  }

  /** Whether this node can serve customers: it knows a leader or, without a replica, is connected to the group. */
  get isReady(): boolean {
    return this.#replica === undefined
      ? this.#discovery.isConnected
      : this.#replica.leadership().leader !== undefined;
  }

  /** Current status, for operators. */
  describe(): NodeStatus {
    const { node, zone } = this.#parts.settings;
    const replica = this.#replica;
    const jobStore = replica?.state;
    const times = replica?.contactTimes();
    return {
      node,
      zone,
      build: this.#build,
      otherBuilds: this.#peerBuilds.others(),
      ignoredSettings: [...this.#parts.ignoredSettings ?? []],
      isReady: this.isReady,
      leader: replica?.leadership().leader ?? this.leaderHost,
      replicas: (replica?.replicas() ?? []).map((member) => ({
        replica: member.replica,
        role: member.role,
        caughtUp: member.caughtUp,
        silentMs: silenceOf(times?.get(member.replica)),
      })),
      plan: jobStore?.plan.version,
      openJobs: jobStore && countOf(jobStore.jobs.values(), isOpen),
      openWaves: jobStore && countOf(
        jobStore.waves.values(),
        ({ wave, done }) => done.length < wave.vms.length,
      ),
      tenure: this.#leaderController?.describe(),
    };
  }

  /** Calls a method at the leader; the call fails when the timeout has passed. */
  call<M extends Method>(
    method: M,
    params: Params<M>,
    timeoutMs = this.#parts.settings.callTimeoutMs,
  ): Promise<Result<unknown, Fault>> {
    return this.#leaderClient.call(method, params, timeoutMs);
  }

  /** Reports of workers; undefined on a node without a replica. */
  get workerReports(): WorkerReports | undefined {
    return this.#workerReports;
  }

  /** Starts the components of the node in order, then the given servers; fails with a fault if one does not start. */
  async start(servers: readonly Component[]): Promise<Result<void, Fault>> {
    const { settings } = this.#parts;
    const { dataFolder } = settings;
    const folder = dataFolder === null
      ? Ok(undefined)
      : await openSchedulerFolder(settings, dataFolder);
    if (folder.err) {
      return folder;
    }
    try {
      for (const component of this.#createComponents(folder.val)) {
        await this.#lifecycle.start(component);
      }
      for (const server of servers) {
        await this.#lifecycle.start(server);
      }
    } catch (error) {
      return Err(
        fault("internal", `Node did not start: ${errorMessage(error)}`),
      );
    }
    return Ok.EMPTY;
  }

  /** Gives the leadership and the vote of this replica to others, if they can take them, then stops all components. */
  async stop(): Promise<void> {
    if (this.#replica !== undefined) {
      await transferLeadership(this.#replica, this.#parts.settings.host);
      await this.#membershipController?.leave();
    }
    await this.#lifecycle.stop();
  }

  /** Stops all components without transferring leadership. */
  abort(): Promise<void> {
    return this.#lifecycle.stop();
  }

  #createComponents(folder: ReplicaFolder | undefined): Component[] {
    const { settings } = this.#parts;
    this.#addHandlers(
      new Map<string, Handler>([
        [
          "hello",
          (params, connection) => this.#receiveHello(params, connection),
        ],
      ]),
    );
    const server = new LinkServer({
      address: settings.listen.link,
      ...this.#connectionParts(),
      memory: this.callerMemory,
    });
    if (folder === undefined) {
      return [this.#runtime, this.#load, this.#linkPool, this.#discovery];
    }
    return [
      this.#runtime,
      this.#load,
      this.#linkPool,
      ...this.#createReplicaComponents(folder),
      server,
    ];
  }

  #receiveHello(
    params: unknown,
    connection?: Connection,
  ): Promise<Result<unknown, Fault>> {
    const { cluster } = this.#parts.settings;
    const hello = parse(Hello, params, "hello").andThen((value) =>
      value.cluster === cluster ? Ok(value) : Err(
        fault(
          "conflict",
          `This is cluster "${cluster}", not "${value.cluster}"`,
        ),
      )
    );
    if (hello.ok) {
      const { entry, build = UNKNOWN_BUILD.id } = hello.val;
      if (connection !== undefined) {
        this.#peerBuilds.record(connection, { host: entry, build });
      }
      this.#linkPool.reconnect(entry);
    }
    return Promise.resolve(hello.map(() => ({})));
  }

  #createReplicaComponents(folder: ReplicaFolder): Component[] {
    const { settings, log } = this.#parts;
    const { host, zone, listen } = settings;
    const replica: JobReplica = new RaftDriver({
      settings: { ...settings, entry: host, listen },
      stateMachine: {
        ...jobStateMachine,
        apply: (jobStore, command) =>
          this.#load.measure(
            "apply",
            () => jobStateMachine.apply(jobStore, command),
          ),
      },
      ...folder,
      clock: this.#clock,
      random: Math.random,
      log,
      metrics: this.metrics,
      send: (entry, message) => this.#notify(entry, "raft", message),
      onStorageFailure: (cause) => this.onFailure(cause),
    });
    this.#replica = replica;
    this.#leaderClient = this.#createLeaderClient(true);
    this.#linkPool.setKnownHosts(this.#firstKnownHosts(replica));
    const membershipController = new DynamicMembershipController({
      replica,
      self: {
        replica: folder.replica,
        entry: host,
        zone,
        address: listen.link,
      },
      rules: {
        voters: settings.raft.voters,
        lostAfterMs: settings.raft.lostAfterMs,
        learnerLostAfterMs: LEARNER_LOST_AFTER_MS,
      },
      seeds: this.#otherSeeds,
      leader: this.#leaderClient,
      onMembers: (hosts) =>
        this.#linkPool.setKnownHosts(hosts.filter((other) => other !== host)),
      clock: this.#clock,
      log,
      metrics: this.metrics,
    });
    this.#membershipController = membershipController;
    const memory = this.#createMemoryAdmission(replica);
    const leaderController = this.#createLeaderController(replica, memory);
    this.#leaderController = leaderController;
    const leaderApi = new LeaderApi({
      consensus: replica,
      clock: this.#clock,
      log,
      onChange: () => leaderController.wake(),
      onAccepted: (job) => leaderController.recordArrival(job),
      memory,
      accept: (job) => leaderController.accept(job),
      vacate: (worker) => leaderController.vacate(worker),
    });
    registerCustomerMetrics(
      this.metrics,
      () => leaderController.describeCustomers(),
    );
    this.#workerReports = new WorkerReports({
      host,
      consensus: replica,
      isVoter: () =>
        replica.replicas().some(({ replica: id, role }) =>
          id === folder.replica && role === "follower"
        ),
      candidates: () => this.#relayCandidates(replica),
      report: (worker) =>
        this.call("report_worker", { worker }, REPORT_TIMEOUT_MS),
      metrics: this.metrics,
    });
    const callRelay = new CallRelay({
      host,
      consensus: replica,
      client: this.#parts.workerClient,
      clock: this.#clock,
      log,
      metrics: this.metrics,
      maxDelayMs: settings.raft.electionMinMs * RELAY_DELAY_SHARE,
      send: (to, method, params) => this.#notify(to, method, params),
    });
    this.#addHandlers(callRelay.handlers());
    this.#addHandlers(
      new Map([[
        RELAY_METHODS.answers,
        (params) => Promise.resolve(leaderController.receiveAnswers(params)),
      ]]),
    );
    this.#addHandlers(membershipController.handlers());
    this.#addHandlers(leaderApi.handlers());
    this.#addHandlers(this.#groupHandlers(replica));
    return [
      replica,
      leaderController,
      leadershipConfirmer(replica),
      membershipController,
    ];
  }

  /** The other members as of the last shutdown; the seeds if this replica's folder is new. */
  #firstKnownHosts(replica: JobReplica): string[] {
    const members = replica.replicas().map(({ entry }) => entry);
    return members.length > 0
      ? members.filter((other) => other !== this.#parts.settings.host)
      : this.#otherSeeds;
  }

  get #otherSeeds(): string[] {
    const { host, seeds } = this.#parts.settings;
    return seeds.map((seed) => hostAndPort(seed).host)
      .filter((seed) => seed !== host);
  }

  /** Limits jobs to what fits into the heap and on the disk that this process was given. */
  #createMemoryAdmission(replica: JobReplica): MemoryAdmission {
    const { settings, log } = this.#parts;
    const { jobHeapShare, diskMb } = settings.limits;
    const heapBytes = getHeapStatistics().heap_size_limit;
    const limitBytes = jobLimitBytes({
      heapBytes,
      heapShare: jobHeapShare,
      diskBytes: diskMb ? diskMb * BYTES_PER_MB : undefined,
    });
    log.info("memory.limit", {
      heapBytes,
      diskMb: diskMb ?? 0,
      jobBytes: Math.round(limitBytes),
    });
    this.metrics.gauge(
      "quetzalcove_job_memory_bytes",
      () => replica.state.memory.total,
    );
    this.metrics.gauge("quetzalcove_job_memory_limit_bytes", () => limitBytes);
    return new MemoryAdmission({
      consensus: replica,
      clock: this.#clock,
      log,
      limitBytes,
    });
  }

  #createLeaderController(
    replica: JobReplica,
    memory: MemoryAdmission,
  ): LeaderController {
    const { settings, log, workerClient, vmClient, advisorClient } =
      this.#parts;
    return new LeaderController({
      vmClient,
      advisorClient,
      holder: settings.node,
      settings: settings.workers,
      retentionMs: settings.retentionMs,
      memory,
      reclaimsBusyVms: settings.pools.reclaim,
      placement: settings.placement,
      consensus: replica,
      createRouter: (term) =>
        new CallRouter({
          host: settings.host,
          term,
          direct: workerClient,
          zoneOf: (worker) => replica.state.workers.get(worker)?.zone,
          relayFromWorkers: settings.workers.relayFromWorkers,
          workerCount: () => replica.state.workers.size,
          candidates: () => this.#relayCandidates(replica),
          isConfirmedLeader: () => replica.isConfirmedLeader,
          callTimeoutMs: settings.workers.callTimeoutMs,
          clock: this.#clock,
          log,
          metrics: this.metrics,
          send: (to, method, params) => this.#notify(to, method, params),
          request: (to, method, params, timeoutMs) =>
            this.#linkPool.get(to).request(method, params, timeoutMs),
        }),
      clock: this.#clock,
      log,
      metrics: this.metrics,
      isConfirmedLeader: () => replica.isConfirmedLeader,
      measure: (activity, run) => this.#load.measure(activity, run),
    });
  }

  /** The other replicas, which can relay calls of this leader. */
  #relayCandidates(replica: JobReplica): RelayCandidate[] {
    const times = replica.contactTimes();
    return replica.replicas()
      .filter(({ entry }) => entry !== this.#parts.settings.host)
      .map(({ replica: id, entry, zone, caughtUp }) => ({
        host: entry,
        zone,
        caughtUp,
        isConnected: this.#linkPool.get(entry).isOpen,
        silentMs: times.get(id)?.silentMs ?? Infinity,
      }));
  }

  #groupHandlers(replica: JobReplica): ReadonlyMap<string, Handler> {
    return new Map<string, Handler>([
      ["raft", (params) =>
        Promise.resolve(
          parse(RaftMessage, params, "raft").map((message) =>
            replica.receive(message)
          ),
        )],
      ["describe_group", () => {
        const description: GroupDescription = {
          hosts: replica.replicas().map(({ entry }) => entry),
          leader: replica.leadership().leader,
        };
        return Promise.resolve(Ok(description));
      }],
    ]);
  }

  #addHandlers(handlers: ReadonlyMap<string, Handler>): void {
    handlers.forEach((handler, method) =>
      this.#handlers.set(
        method,
        (...call) => this.#load.measure(method, () => handler(...call)),
      )
    );
  }

  /** Sends a message to another node; it may be lost. */
  #notify(host: string, method: string, params: unknown): void {
    this.#load.measure(
      "send",
      () => this.#linkPool.get(host).notify(method, params),
    );
  }

  #createLeaderClient(isReplica: boolean): LeaderClient {
    return new LeaderClient({
      entry: this.#parts.settings.host,
      local: isReplica ? this.#handlers : undefined,
      links: this.#linkPool,
      clock: this.#clock,
    });
  }

  #connectionParts(): ConnectionParts {
    const sent = this.metrics.counter("quetzalcove_link_bytes_total", {
      direction: "sent",
    });
    const received = this.metrics.counter("quetzalcove_link_bytes_total", {
      direction: "received",
    });
    return {
      handlers: this.#handlers,
      settings: this.#parts.settings.link,
      now: () => this.#clock.monotonic(),
      count: (direction, bytes) =>
        direction === "sent" ? sent(bytes) : received(bytes),
    };
  }
}

/** Silence of a replica in whole milliseconds, counted from when the leader began to track it if it has not answered. */
function silenceOf(times: ContactTimes | undefined): number | undefined {
  return times && Math.round(Math.min(times.silentMs, times.trackedMs));
}

function countOf<T>(
  items: Iterable<T>,
  matches: (item: T) => boolean,
): number {
  return [...items].filter(matches).length;
}

function isOpen({ outcome }: JobRecord): boolean {
  return outcome === "open";
}

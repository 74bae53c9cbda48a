/**
 * One daemon: an entry, and a replica when it has a data folder.
 *
 * @module
 */
import {
  type Command,
  type CommandOutput,
  Err,
  type Fault,
  fault,
  Ok,
  parse,
  type Peer,
  RaftMessage,
  type Result,
  type Settings,
  type State,
  Trace,
} from "@quetzalcove/core";
import { z } from "zod";
import { AdminApi, type ReplicaOperations } from "./admin/admin_api.ts";
import { type Clock, systemClock } from "./clock.ts";
import { StaticMembershipController } from "./consensus/static_membership_controller.ts";
import { transferLeadership } from "./consensus/leadership_transfer.ts";
import { daemonStateMachine } from "./consensus/daemon_state_machine.ts";
import { RaftDriver } from "./consensus/raft_driver.ts";
import { Entry } from "./entry/entry.ts";
import { LeaderClient } from "./entry/leader_client.ts";
import { createCallerMemory } from "./callers/caller_limits.ts";
import { HttpServer, type ServerLimits, writeReply } from "./http_server.ts";
import { Leader } from "./leader/leader.ts";
import { type Component, Lifecycle } from "./lifecycle.ts";
import type { ConnectionParts, Handler } from "./link/connection.ts";
import { Link } from "./link/link.ts";
import { Hello } from "./link/hello.ts";
import { LinkServer } from "./link/server.ts";
import { hostAndPort } from "./net.ts";
import { errorMessage, type Log, openLog } from "./observe/log.ts";
import { Metrics } from "./observe/metrics.ts";
import { registerProcessGauges } from "./observe/process_gauges.ts";
import { type SpanRecord, Tracing } from "./observe/tracing.ts";
import { PlatformAgentClient } from "./agents/platform_agent_client.ts";
import { jsonReply, problemReply } from "./problem.ts";
import { openReplicaFolder, type ReplicaFolder } from "./replica_folder.ts";
import { wait, waitUntil } from "./waiting.ts";

const TRACE_TIMEOUT_MS = 500;

/** A running daemon. */
export class Daemon {
  readonly log: Log;
  readonly #settings: Settings;
  readonly #clock: Clock = systemClock;
  readonly #metrics = new Metrics();
  readonly #linkBytes = {
    sent: this.#metrics.counter("quetzalcove_link_bytes_total", {
      direction: "sent",
    }),
    received: this.#metrics.counter("quetzalcove_link_bytes_total", {
      direction: "received",
    }),
  };
  readonly #serverLimits: ServerLimits;
  readonly #tracing: Tracing;
  readonly #lifecycle: Lifecycle;
  readonly #handlers = new Map<string, Handler>();
  readonly #links = new Map<string, Link>();
  #replica: RaftDriver<State, Command, CommandOutput> | undefined;
  #membershipController: StaticMembershipController | undefined;
  #entry: Entry | undefined;
  #stopping: Promise<void> | undefined;
  #isStarted = false;
  /** Called on a fatal failure; the process must exit. */
  onFailure: (cause: Fault) => void = () => {};

  constructor(settings: Settings) {
    const { entry, zone, log, traces } = settings;
    this.#settings = settings;
    this.log = openLog({ ...log, entry });
    this.#tracing = new Tracing({ ...traces, entry, zone });
    registerProcessGauges(this.#metrics);
    this.#serverLimits = {
      limits: settings.limits,
      memory: createCallerMemory(settings.limits.memoryMb, this.#metrics),
      refuse: (request, response, cause) =>
        writeReply(request, response, problemReply(cause)),
      onShed: (server, reason) =>
        this.#metrics.count("quetzalcove_shed_total", { server, reason }),
    };
    this.#lifecycle = new Lifecycle((component, error) => {
      this.log.error("component.stop_failed", {
        component,
        reason: errorMessage(error),
      });
    });
  }

  /** Starts the components in order; fails with a fault if one does not start. */
  async start(): Promise<Result<void, Fault>> {
    const folder = await openReplicaFolder(this.#settings);
    if (folder.err) {
      return folder;
    }
    try {
      for (const component of this.#createComponents(folder.val)) {
        await this.#lifecycle.start(component);
      }
    } catch (error) {
      return Err(
        fault("internal", `Daemon did not start: ${errorMessage(error)}`),
      );
    }
    this.#isStarted = true;
    await this.#bootstrapIfAlone();
    this.log.info("daemon.started", {
      zone: this.#settings.zone,
      replica: this.#replica?.replica,
    });
    return Ok.EMPTY;
  }

  /** Graceful shutdown: accepts no new work, finishes the requests in progress and transfers the leadership. */
  stop(): Promise<void> {
    this.#stopping ??= this.#stop();
    return this.#stopping;
  }

  #createComponents(folder: ReplicaFolder | undefined): Component[] {
    this.#createLinks();
    const replicaComponents = folder === undefined
      ? []
      : this.#createReplicaComponents(folder);
    const entry = this.#createEntry();
    this.#handlers.set("hello", (params, connection) => {
      return Promise.resolve(
        this.#handleHello(params, () => connection?.close("another cluster")),
      );
    });
    this.#handlers.set("news", () => {
      void entry.leaseController.renew();
      return Promise.resolve(Ok({}));
    });
    this.#handlers.set(
      "trace",
      (params) => Promise.resolve(Ok(this.#localSpans(params))),
    );
    const adminApi = this.#createAdminApi(entry);
    return [
      this.#tracing,
      this.#createLinkServer(),
      ...this.#links.values(),
      ...replicaComponents,
      this.#createAdminServer(adminApi),
      ...entry.components(),
    ];
  }

  #createLinks(): void {
    for (const peer of this.#peers()) {
      const link = new Link({
        peer: peer.entry,
        address: peer.link,
        localHost: hostAndPort(this.#settings.listen.link).host,
        ...this.#connectionParts(),
        log: this.log,
        hello: { cluster: this.#settings.cluster, entry: this.#settings.entry },
      });
      this.#links.set(peer.entry, link);
    }
  }

  #peers(): Peer[] {
    return this.#settings.peers.filter((peer) =>
      peer.entry !== this.#settings.entry
    );
  }

  #createLinkServer(): LinkServer {
    return new LinkServer({
      address: this.#settings.listen.link,
      ...this.#connectionParts(),
      memory: this.#serverLimits.memory,
    });
  }

  #connectionParts(): ConnectionParts {
    return {
      handlers: this.#handlers,
      settings: this.#settings.link,
      now: () => this.#clock.monotonic(),
      count: (direction, bytes) => this.#linkBytes[direction](bytes),
    };
  }

  #createReplicaComponents(folder: ReplicaFolder): Component[] {
    const replica = new RaftDriver({
      settings: this.#settings,
      stateMachine: daemonStateMachine,
      ...folder,
      clock: this.#clock,
      random: Math.random,
      log: this.log,
      metrics: this.#metrics,
      send: (entry, message) => this.#links.get(entry)?.notify("raft", message),
      onStorageFailure: (cause) => this.onFailure(cause),
    });
    const agents = new PlatformAgentClient(this.log);
    const leader = new Leader({
      agents,
      tracing: this.#tracing,
      settings: this.#settings,
      consensus: replica,
      clock: this.#clock,
      log: this.log,
      notifyEntries: () => this.#notifyEntries(),
    });
    this.#replica = replica;
    for (const [method, handler] of leader.handlers()) {
      this.#handlers.set(method, handler);
    }
    this.#handlers.set("raft", (params) => {
      return Promise.resolve(
        parse(RaftMessage, params, "raft").map((message) =>
          replica.receive(message)
        ),
      );
    });
    this.#membershipController = new StaticMembershipController({
      settings: this.#settings,
      replica,
      links: this.#links,
      leader: this.#createLeaderClient(),
      log: this.log,
    });
    for (const [method, handler] of this.#membershipController.handlers()) {
      this.#handlers.set(method, handler);
    }
    return [replica, agents, leader, this.#membershipController];
  }

  #createLeaderClient(): LeaderClient {
    const replicas = new Set(
      this.#peers().filter((p) => p.replica).map((p) => p.entry),
    );
    return new LeaderClient({
      entry: this.#settings.entry,
      local: this.#settings.dataFolder === undefined
        ? undefined
        : this.#handlers,
      links: new Map([...this.#links].filter(([entry]) => replicas.has(entry))),
      clock: this.#clock,
    });
  }

  #createEntry(): Entry {
    this.#entry = new Entry({
      settings: this.#settings,
      leader: this.#createLeaderClient(),
      clock: this.#clock,
      log: this.log,
      metrics: this.#metrics,
      tracing: this.#tracing,
      random: Math.random,
      server: this.#serverLimits,
    });
    return this.#entry;
  }

  #createAdminApi(entry: Entry): AdminApi {
    return new AdminApi({
      settings: this.#settings,
      leader: this.#createLeaderClient(),
      metrics: this.#metrics,
      health: () => entry.api.health(),
      ready: () => this.#ready(entry),
      findTrace: (traceId) => this.#findTrace(traceId),
      replicas: this.#replicaOperations(),
    });
  }

  #createAdminServer(adminApi: AdminApi): HttpServer {
    return new HttpServer({
      name: "admin server",
      address: this.#settings.listen.admin,
      ...this.#serverLimits,
      listener: (request, response) => adminApi.handle(request, response),
    });
  }

  /** Ready once a view has been received, whether or not the lease is valid now. */
  #ready(entry: Entry): ReturnType<typeof jsonReply> {
    const { revision } = entry.leaseController.view;
    return revision >= 0
      ? jsonReply({ revision })
      : problemReply(fault("no_leader", "No view was received yet"));
  }

  /** Tells every entry, this one included, to renew. */
  #notifyEntries(): void {
    for (const link of this.#links.values()) {
      link.notify("news", {});
    }
    void this.#entry?.leaseController.renew();
  }

  #handleHello(params: unknown, close: () => void): Result<unknown, Fault> {
    return parse(Hello, params, "hello").andThen(
      ({ cluster, entry }): Result<unknown, Fault> => {
        if (cluster === this.#settings.cluster) {
          return Ok({ entry: this.#settings.entry });
        }
        this.log.error("link.refused", { peer: entry, cluster });
        setImmediate(close);
        return Err(
          fault(
            "conflict",
            `This is cluster "${this.#settings.cluster}", not "${cluster}"`,
          ),
        );
      },
    );
  }

  #localSpans(params: unknown): { spans: SpanRecord[] } {
    const parsed = z.object({ id: z.string() }).safeParse(params);
    return { spans: parsed.success ? this.#tracing.find(parsed.data.id) : [] };
  }

  async #findTrace(id: string): Promise<SpanRecord[]> {
    const answers = await Promise.all(
      [...this.#links.values()].map((link) =>
        link.request("trace", { id }, TRACE_TIMEOUT_MS)
      ),
    );
    const remote = answers.flatMap((answer) => {
      const parsed = answer.ok ? Trace.safeParse(answer.val) : undefined;
      return parsed?.success
        ? (answer.val as { spans: SpanRecord[] }).spans
        : [];
    });
    return [...this.#tracing.find(id), ...remote].sort((a, b) =>
      a.startMs - b.startMs
    );
  }

  #replicaOperations(): ReplicaOperations {
    const leader = this.#createLeaderClient();
    const timeoutMs = this.#settings.link.callTimeoutMs;
    return {
      init: () => this.#init(),
      remove: (replica) =>
        leader.call("remove_replica", { replica }, timeoutMs),
      transfer: (entry) => leader.call("transfer", { entry }, timeoutMs),
    };
  }

  #init(): Promise<Result<unknown, Fault>> {
    if (this.#membershipController !== undefined) {
      return this.#membershipController.init();
    }
    const replicaEntry =
      this.#settings.peers.find((peer) => peer.replica)?.entry ??
        "";
    const link = this.#links.get(replicaEntry);
    return link?.request("init", {}, this.#settings.link.callTimeoutMs) ??
      Promise.resolve(Err(fault("not_found", "No replica is configured")));
  }

  /** Initializes the cluster if this daemon has no peers; a cluster of one needs no operator for that. */
  async #bootstrapIfAlone(): Promise<void> {
    if (this.#peers().length === 0 && this.#replica?.isFormed === false) {
      await this.#replica.bootstrap();
    }
  }

  async #stop(): Promise<void> {
    if (this.#isStarted) {
      await this.#drain();
    }
    await this.#lifecycle.stop();
    this.log.info("daemon.stopped");
  }

  /** Gives load balancers time to send callers elsewhere, waits for requests to end, and transfers the leadership. */
  async #drain(): Promise<void> {
    const { noticeMs, graceMs } = this.#settings.stop;
    this.log.info("daemon.stopping", { noticeMs });
    this.#entry?.leaseController.failHealthCheck();
    await wait(noticeMs);
    this.#entry?.leaseController.stopAccepting();
    await waitUntil(() => this.#entry?.api.inProgress === 0, graceMs);
    if (this.#replica !== undefined) {
      await transferLeadership(this.#replica, this.#settings.entry);
    }
  }
}

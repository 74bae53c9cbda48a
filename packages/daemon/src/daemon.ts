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
import { Admin, type ReplicaOperations } from "./admin/admin.ts";
import { type Clock, systemClock } from "./clock.ts";
import { Formation } from "./consensus/formation.ts";
import { handOver } from "./consensus/hand_over.ts";
import { productMachine } from "./consensus/product_machine.ts";
import { ReplicaTask } from "./consensus/replica_task.ts";
import { Entry } from "./entry/entry.ts";
import { LeaderClient } from "./entry/leader_client.ts";
import { HttpServer } from "./http_server.ts";
import { Leader } from "./leader/leader.ts";
import { type Component, Lifecycle } from "./lifecycle.ts";
import type { ConnectionParts, Handler } from "./link/connection.ts";
import { Link } from "./link/link.ts";
import { LinkServer } from "./link/server.ts";
import { hostAndPort } from "./net.ts";
import { type Log, messageOf, openLog } from "./observe/log.ts";
import { Metrics } from "./observe/metrics.ts";
import { registerProcessGauges } from "./observe/process_gauges.ts";
import { type SpanRecord, Tracing } from "./observe/tracing.ts";
import { PlatformAgents } from "./agents/agents.ts";
import { jsonReply, problemReply } from "./problem.ts";
import { openReplicaFolder, type ReplicaFolder } from "./replica_folder.ts";
import { until, wait } from "./waiting.ts";

const Hello = z.object({ cluster: z.string(), entry: z.string() });

/** Wait for the spans of one peer, in milliseconds. */
const TRACE_TIMEOUT_MS = 500;

/** A running daemon. */
export class Daemon {
  readonly log: Log;
  readonly #settings: Settings;
  readonly #clock: Clock = systemClock;
  readonly #metrics = new Metrics();
  readonly #traffic = {
    sent: this.#metrics.counter("quetzalcove_link_bytes_total", {
      direction: "sent",
    }),
    received: this.#metrics.counter("quetzalcove_link_bytes_total", {
      direction: "received",
    }),
  };
  readonly #tracing: Tracing;
  readonly #lifecycle: Lifecycle;
  readonly #handlers = new Map<string, Handler>();
  readonly #links = new Map<string, Link>();
  #replica: ReplicaTask<State, Command, CommandOutput> | undefined;
  #formation: Formation | undefined;
  #entry: Entry | undefined;
  #stopping: Promise<void> | undefined;
  #isStarted = false;
  /** Called when the daemon cannot go on; the process must exit. */
  onFailure: (cause: Fault) => void = () => {};

  constructor(settings: Settings) {
    const { entry, zone, log, traces } = settings;
    this.#settings = settings;
    this.log = openLog({ ...log, entry });
    this.#tracing = new Tracing({ ...traces, entry, zone });
    registerProcessGauges(this.#metrics);
    this.#lifecycle = new Lifecycle((component, error) => {
      this.log.error("component.stop_failed", {
        component,
        reason: messageOf(error),
      });
    });
  }

  /** Starts everything in order. */
  async start(): Promise<Result<void, Fault>> {
    const folder = await openReplicaFolder(this.#settings);
    if (folder.err) {
      return folder;
    }
    try {
      for (const component of this.#components(folder.val)) {
        await this.#lifecycle.start(component);
      }
    } catch (error) {
      return Err(
        fault("internal", `Daemon did not start: ${messageOf(error)}`),
      );
    }
    this.#isStarted = true;
    await this.#initWhenAlone();
    this.log.info("daemon.started", {
      zone: this.#settings.zone,
      replica: this.#replica?.replica,
    });
    return Ok.EMPTY;
  }

  /** Graceful shutdown: takes no new work, finishes what is in progress and hands the leadership over. */
  stop(): Promise<void> {
    this.#stopping ??= this.#stop();
    return this.#stopping;
  }

  #components(folder: ReplicaFolder | undefined): Component[] {
    this.#openLinks();
    const replicaParts = folder === undefined
      ? []
      : this.#replicaComponents(folder);
    const entry = this.#openEntry();
    this.#handlers.set("hello", (params, connection) => {
      return Promise.resolve(
        this.#greet(params, () => connection?.close("another cluster")),
      );
    });
    this.#handlers.set("news", () => {
      void entry.membership.renew();
      return Promise.resolve(Ok({}));
    });
    this.#handlers.set(
      "trace",
      (params) => Promise.resolve(Ok(this.#ownSpans(params))),
    );
    const admin = this.#openAdmin(entry);
    return [
      this.#tracing,
      this.#linkServer(),
      ...this.#links.values(),
      ...replicaParts,
      this.#adminServer(admin),
      ...entry.components(),
    ];
  }

  #openLinks(): void {
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

  #linkServer(): LinkServer {
    return new LinkServer({
      address: this.#settings.listen.link,
      ...this.#connectionParts(),
    });
  }

  #connectionParts(): ConnectionParts {
    return {
      handlers: this.#handlers,
      bounds: this.#settings.link,
      now: () => this.#clock.monotonic(),
      count: (direction, bytes) => this.#traffic[direction](bytes),
    };
  }

  #replicaComponents(folder: ReplicaFolder): Component[] {
    const replica = new ReplicaTask({
      settings: this.#settings,
      machine: productMachine,
      ...folder,
      clock: this.#clock,
      random: Math.random,
      log: this.log,
      metrics: this.#metrics,
      send: (entry, message) => this.#links.get(entry)?.notify("raft", message),
      onStorageFailure: (cause) => this.onFailure(cause),
    });
    const agents = new PlatformAgents(this.log);
    const leader = new Leader({
      agents,
      tracing: this.#tracing,
      settings: this.#settings,
      consensus: replica,
      clock: this.#clock,
      log: this.log,
      announceNews: () => this.#announceNews(),
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
    this.#formation = new Formation({
      settings: this.#settings,
      replica,
      links: this.#links,
      leader: this.#leaderClient(),
      log: this.log,
    });
    for (const [method, handler] of this.#formation.handlers()) {
      this.#handlers.set(method, handler);
    }
    return [replica, agents, leader, this.#formation];
  }

  #leaderClient(): LeaderClient {
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

  #openEntry(): Entry {
    this.#entry = new Entry({
      settings: this.#settings,
      leader: this.#leaderClient(),
      clock: this.#clock,
      log: this.log,
      metrics: this.#metrics,
      tracing: this.#tracing,
      random: Math.random,
    });
    return this.#entry;
  }

  #openAdmin(entry: Entry): Admin {
    return new Admin({
      settings: this.#settings,
      leader: this.#leaderClient(),
      metrics: this.#metrics,
      health: () => entry.front.health(),
      ready: () => this.#ready(entry),
      findTrace: (traceId) => this.#findTrace(traceId),
      replicas: this.#replicaOperations(),
    });
  }

  #adminServer(admin: Admin): HttpServer {
    return new HttpServer({
      name: "admin server",
      address: this.#settings.listen.admin,
      limits: this.#settings.limits,
      listener: (request, response) => admin.handle(request, response),
    });
  }

  /** Ready once a view was received, whether or not the lease is valid now. */
  #ready(entry: Entry): ReturnType<typeof jsonReply> {
    const { revision } = entry.membership.view;
    return revision >= 0
      ? jsonReply({ revision })
      : problemReply(fault("no_leader", "No view was received yet"));
  }

  /** Tells every entry, this one included, that a renewal brings news. */
  #announceNews(): void {
    for (const link of this.#links.values()) {
      link.notify("news", {});
    }
    void this.#entry?.membership.renew();
  }

  #greet(params: unknown, close: () => void): Result<unknown, Fault> {
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

  #ownSpans(params: unknown): { spans: SpanRecord[] } {
    const id = z.object({ id: z.string() }).safeParse(params);
    return { spans: id.success ? this.#tracing.find(id.data.id) : [] };
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
    const leader = this.#leaderClient();
    const timeoutMs = this.#settings.link.callTimeoutMs;
    return {
      init: () => this.#init(),
      remove: (replica) =>
        leader.call("remove_replica", { replica }, timeoutMs),
      transfer: (entry) => leader.call("transfer", { entry }, timeoutMs),
    };
  }

  #init(): Promise<Result<unknown, Fault>> {
    if (this.#formation !== undefined) {
      return this.#formation.init();
    }
    const founder = this.#settings.peers.find((peer) => peer.replica)?.entry ??
      "";
    const link = this.#links.get(founder);
    return link?.request("init", {}, this.#settings.link.callTimeoutMs) ??
      Promise.resolve(Err(fault("not_found", "No replica is configured")));
  }

  /** A daemon without peers is a cluster of one and needs no operator to start it. */
  async #initWhenAlone(): Promise<void> {
    if (this.#peers().length === 0 && this.#replica?.isFormed === false) {
      await this.#replica.bootstrap();
    }
  }

  async #stop(): Promise<void> {
    if (this.#isStarted) {
      await this.#finishWork();
    }
    await this.#lifecycle.stop();
    this.log.info("daemon.stopped");
  }

  /** Lets callers go elsewhere and requests end, then hands the leadership over. */
  async #finishWork(): Promise<void> {
    const { noticeMs, graceMs } = this.#settings.stop;
    this.log.info("daemon.stopping", { noticeMs });
    this.#entry?.membership.beginNotice();
    await wait(noticeMs);
    this.#entry?.membership.beginStop();
    await until(() => this.#entry?.front.inProgress === 0, graceMs);
    if (this.#replica !== undefined) {
      await handOver(this.#replica, this.#settings.entry);
    }
  }
}

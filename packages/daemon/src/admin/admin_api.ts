/**
 * The administration API.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  type Command,
  ConfigurationChange,
  type Fault,
  fault,
  JobCancellation,
  JobFilter,
  JobSubmission,
  Ok,
  parse,
  parseJson,
  type Result,
  type Settings,
  Settlement,
  validate,
} from "@quetzalcove/core";
import findMyWay from "find-my-way";
import { z } from "zod";
import type { LeaderClient } from "../entry/leader_client.ts";
import { LedgerKeyState } from "../entry/ledger_client.ts";
import { readBody, writeReply } from "../http_server.ts";
import type { Query } from "../leader/queries.ts";
import type { Metrics } from "../observe/metrics.ts";
import type { SpanRecord } from "../observe/tracing.ts";
import { type HttpReply, jsonReply, problemReply } from "../problem.ts";

/** Dependencies of the administration API. */
export interface AdminApiParts {
  settings: Settings;
  leader: LeaderClient;
  metrics: Metrics;
  health: () => HttpReply;
  ready: () => HttpReply;
  /** Finds the spans of a trace on all daemons. */
  findTrace: (traceId: string) => Promise<SpanRecord[]>;
  replicas: ReplicaOperations;
}

/** Operations on the replicas; each answers a JSON value. */
export interface ReplicaOperations {
  init: () => Promise<Result<unknown, Fault>>;
  remove: (replica: string) => Promise<Result<unknown, Fault>>;
  transfer: (entry: string) => Promise<Result<unknown, Fault>>;
}

const EmptyBody = z.strictObject({});
const EntryName = z.strictObject({ entry: z.string() });
const ReplicaName = z.strictObject({ replica: z.string() });

const LEADER_TIMEOUT_MS = 5_000;

/** Memory for each byte of a body: as received, as text, decoded, and in the message to the leader. */
const BODY_MEMORY_FACTOR = 5;

type Params = Record<string, string | undefined>;
type AsyncResult = Promise<Result<unknown, Fault>>;

export class AdminApi {
  readonly #parts: AdminApiParts;
  readonly #router = findMyWay({
    defaultRoute: (request, response) => {
      const reply = problemReply(
        fault("not_found", `No route for ${request.method} ${request.url}`),
      );
      writeReply(request as IncomingMessage, response as ServerResponse, reply);
    },
  });

  constructor(parts: AdminApiParts) {
    this.#parts = parts;
    this.#registerReads();
    this.#registerChanges();
    this.#registerProbes();
  }

  /** Handles one HTTP request. */
  handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> | undefined {
    return this.#router.lookup(request, response) as Promise<void> | undefined;
  }

  #registerReads(): void {
    this.#get("/v1/status", () => this.#status());
    this.#get("/v1/configuration", () => this.#read({ what: "configuration" }));
    this.#get("/v1/vms", () => this.#read({ what: "vms" }));
    this.#get("/v1/services", () => this.#read({ what: "services" }));
    this.#get("/v1/waves", () => this.#read({ what: "waves" }));
    this.#get("/v1/replicas", () => this.#read({ what: "replicas" }));
    this.#get("/v1/force", (_, query) => {
      return this.#read({
        what: "force",
        revision: Number(query.get("revision") ?? 0),
      });
    });
    this.#get("/v1/requests", (_, query) => {
      return this.#read({
        what: "requests",
        phase: query.get("phase") ?? undefined,
      });
    });
    this.#get("/v1/jobs", (_, query) => {
      return this.#listJobs(query);
    });
    this.#get("/v1/jobs/:id", (params) => {
      return this.#read({ what: "job", id: params["id"] ?? "" });
    });
    this.#get("/v1/traces/:id", async (params) => {
      return Ok({ spans: await this.#parts.findTrace(params["id"] ?? "") });
    });
  }

  #registerChanges(): void {
    this.#post(
      "/v1/configuration",
      ConfigurationChange,
      (change) => this.#configure(change),
    );
    this.#post("/v1/vms/:name/drain", EmptyBody, (_, params) => {
      return this.#setRequestedStop(params["name"] ?? "", true);
    });
    this.#post("/v1/vms/:name/resume", EmptyBody, (_, params) => {
      return this.#setRequestedStop(params["name"] ?? "", false);
    });
    this.#post("/v1/requests/settle", Settlement, (settlement) => {
      return this.#settle(settlement);
    });
    this.#post("/v1/jobs", JobSubmission, ({ jobs }) => {
      return this.#propose({ kind: "job.submit", jobs, at: 0 });
    });
    this.#post("/v1/jobs/cancel", JobCancellation, (cancellation) => {
      return this.#propose({ kind: "job.cancel", ...cancellation, at: 0 });
    });
    const { replicas } = this.#parts;
    this.#post("/v1/init", z.object({}), () => replicas.init());
    this.#post(
      "/v1/replicas/remove",
      ReplicaName,
      ({ replica }) => replicas.remove(replica),
    );
    this.#post(
      "/v1/replicas/transfer",
      EntryName,
      ({ entry }) => replicas.transfer(entry),
    );
  }

  #registerProbes(): void {
    this.#router.get("/healthz", (request, response) => {
      writeReply(
        request as IncomingMessage,
        response as ServerResponse,
        this.#parts.health(),
      );
    });
    this.#router.get("/readyz", (request, response) => {
      writeReply(
        request as IncomingMessage,
        response as ServerResponse,
        this.#parts.ready(),
      );
    });
    this.#router.get("/metrics", (request, response) => {
      const body = Buffer.from(this.#parts.metrics.text());
      writeReply(request as IncomingMessage, response as ServerResponse, {
        status: 200,
        headers: {
          "content-type": "text/plain; version=0.0.4",
          "content-length": String(body.length),
        },
        body,
      });
    });
  }

  #get(
    route: string,
    answer: (params: Params, query: URLSearchParams) => AsyncResult,
  ): void {
    this.#router.get(route, async (request, response, params) => {
      const query = new URL(request.url ?? "/", "http://admin").searchParams;
      const result = await answer(params, query);
      writeReply(
        request as IncomingMessage,
        response as ServerResponse,
        replyTo(result),
      );
    });
  }

  #post<T extends z.ZodType>(
    route: string,
    schema: T,
    answer: (body: z.output<T>, params: Params) => AsyncResult,
  ): void {
    this.#router.post(route, async (request, response, params) => {
      const body = await this.#readBody(request as IncomingMessage, schema);
      const result = body.ok ? await answer(body.val, params) : body;
      writeReply(
        request as IncomingMessage,
        response as ServerResponse,
        replyTo(result),
      );
    });
  }

  async #readBody<T extends z.ZodType>(
    request: IncomingMessage,
    schema: T,
  ): Promise<Result<z.output<T>, Fault>> {
    const bytes = await readBody(request, {
      maxBytes: this.#parts.settings.limits.maxAdminBytes,
      memoryFactor: BODY_MEMORY_FACTOR,
    });
    return bytes
      .andThen((read) =>
        parseJson(read.length === 0 ? "{}" : read.toString("utf8"), "body")
      )
      .andThen((value) => parse(schema, value, "body"));
  }

  async #listJobs(query: URLSearchParams): AsyncResult {
    const filter = parse(JobFilter, Object.fromEntries(query), "query");
    return filter.err
      ? filter
      : await this.#read({ what: "jobs", ...filter.val });
  }

  #read(query: Query): AsyncResult {
    return this.#parts.leader.call("read", query, LEADER_TIMEOUT_MS);
  }

  #propose(command: Command): AsyncResult {
    return this.#parts.leader.call("propose", command, LEADER_TIMEOUT_MS);
  }

  async #status(): AsyncResult {
    const { cluster, entry, zone } = this.#parts.settings;
    const status = await this.#read({ what: "status" });
    return status.map((value) => ({
      cluster,
      entry,
      zone,
      ...(value as object),
    }));
  }

  async #configure(change: ConfigurationChange): AsyncResult {
    const valid = validate(change.inventory, change.rules);
    return valid.err
      ? valid
      : await this.#propose({ kind: "configure", ...change, at: 0 });
  }

  /** Adds the id of the current attempt, so that a command that is sent twice cannot settle a later attempt. */
  async #settle(settlement: Settlement): AsyncResult {
    const { key } = settlement;
    const keyState = (await this.#read({ what: "holding", key }))
      .andThen((value) => parse(LedgerKeyState, value, "holding"));
    if (keyState.err) {
      return keyState;
    }
    const { attempt } = keyState.val;
    const attemptSettlement = attempt === undefined
      ? settlement
      : { ...settlement, attempt };
    return await this.#propose({
      kind: "ledger.settle",
      ...attemptSettlement,
      at: 0,
    });
  }

  /** Requests that a VM is taken out of service or brought back; the leader starts the stop when it is safe. */
  #setRequestedStop(vm: string, out: boolean): AsyncResult {
    return this.#propose({ kind: "vm.want", vm, out, at: 0 });
  }
}

function replyTo(result: Result<unknown, Fault>): HttpReply {
  return result.ok ? jsonReply(result.val) : problemReply(result.val as Fault);
}

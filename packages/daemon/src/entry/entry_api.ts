/**
 * HTTP API of an entry for callers and targets: requests for services, announcements and the health check.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { SpanKind } from "@opentelemetry/api";
import {
  Announcement,
  Err,
  type Fault,
  fault,
  Ok,
  parse,
  parseJson,
  type Result,
  type Settings,
} from "@quetzalcove/core";
import findMyWay from "find-my-way";
import type { Clock } from "../clock.ts";
import { readBody, writeReply } from "../http_server.ts";
import type { Metrics } from "../observe/metrics.ts";
import { extractContext, type Tracing } from "../observe/tracing.ts";
import { type HttpReply, jsonReply, problemReply } from "../problem.ts";
import type { LeaseController } from "./lease_controller.ts";
import type { IncomingRequest } from "./request.ts";
import type { RequestHandler } from "./request_handler.ts";

/** Dependencies of the entry API. */
export interface EntryApiParts {
  settings: Settings;
  leaseController: LeaseController;
  requestHandler: RequestHandler;
  tracing: Tracing;
  metrics: Metrics;
  clock: Clock;
}

/** Path prefix of the entry's own routes; no service name can begin with `-`. */
const SYSTEM_PREFIX = "/-/";
const MAX_ANNOUNCEMENT_BYTES = 4_096;

/** Maximum number of renewals for which the announcement of a leaving target waits to reach the leader. */
const MAX_LEAVING_RENEWALS = 3;

export class EntryApi {
  readonly #parts: EntryApiParts;
  readonly #router = findMyWay({
    defaultRoute: (request, response) => {
      writeReply(
        request as IncomingMessage,
        response as ServerResponse,
        problemReply(noRouteFault()),
      );
    },
  });
  #bufferedBytes = 0;
  #inProgress = 0;

  constructor(parts: EntryApiParts) {
    this.#parts = parts;
    this.#router.get(`${SYSTEM_PREFIX}healthz`, (request, response) => {
      writeReply(
        request as IncomingMessage,
        response as ServerResponse,
        this.health(),
      );
    });
    this.#router.post(`${SYSTEM_PREFIX}announce`, (request, response) => {
      return this.#announce(
        request as IncomingMessage,
        response as ServerResponse,
      );
    });
    for (const route of ["/:service", "/:service/*"]) {
      this.#router.all(route, (request, response, params) => {
        const service = params["service"] ?? "";
        return this.#serve(
          request as IncomingMessage,
          response as ServerResponse,
          service,
        );
      });
    }
  }

  /** Number of requests without a reply. */
  get inProgress(): number {
    return this.#inProgress;
  }

  /** Handles one HTTP request. */
  handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> | undefined {
    return this.#router.lookup(request, response) as Promise<void> | undefined;
  }

  /** Returns the health check reply, which tells the load balancer whether this entry accepts new requests. */
  health(): HttpReply {
    return this.#parts.leaseController.isHealthy()
      ? jsonReply({ serving: true })
      : problemReply(
        fault("no_lease", "This entry takes no new work", {
          outcome: "not run",
        }),
      );
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
    service: string,
  ): Promise<void> {
    const { tracing, metrics, clock } = this.#parts;
    const startedAt = clock.monotonic();
    const parent = extractContext(request.headers);
    const { span, context } = tracing.span("entry", parent, SpanKind.SERVER);
    span.setAttributes({
      "quetzalcove.service": service,
      "http.request.method": request.method,
    });
    this.#inProgress += 1;
    const incoming = await this.#read(request, response, service);
    const reply = incoming.ok
      ? await this.#parts.requestHandler.serve(incoming.val, context)
      : await this.#parts.requestHandler.refuse(
        { headers: request.headers, method: request.method ?? "GET", service },
        incoming.val,
      );
    this.#bufferedBytes -= incoming.ok ? incoming.val.body.length : 0;
    this.#inProgress -= 1;
    span.setAttribute("http.response.status_code", reply.status);
    span.end();
    metrics.observe(
      "quetzalcove_request_seconds",
      clock.monotonic() - startedAt,
      {
        status: String(reply.status),
      },
    );
    writeReply(request, response, reply);
  }

  async #read(
    request: IncomingMessage,
    response: ServerResponse,
    service: string,
  ): Promise<Result<IncomingRequest, Fault>> {
    const { forward } = this.#parts.settings;
    if (this.#bufferedBytes >= forward.maxBufferedBytes) {
      return Err(
        fault("overloaded", "Too many bytes wait here", { outcome: "not run" }),
      );
    }
    const serviceRule = this.#parts.leaseController.view.service(service);
    const body = await readBody(request, {
      maxBytes: serviceRule?.maxRequestBytes ?? forward.maxRequestBytes,
    });
    if (body.err) {
      return body;
    }
    this.#bufferedBytes += body.val.length;
    const disconnected = new AbortController();
    response.once("close", () => disconnected.abort());
    return Ok({
      id: randomUUID(),
      method: request.method ?? "GET",
      service,
      path: pathBelow(request.url ?? "/", service),
      headers: request.headers,
      body: body.val,
      callerDisconnected: disconnected.signal,
    });
  }

  async #announce(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request, {
      maxBytes: MAX_ANNOUNCEMENT_BYTES,
    });
    const announcement = body
      .andThen((bytes) => parseJson(bytes.toString("utf8"), "announcement"))
      .andThen((value) => parse(Announcement, value, "announcement"));
    const reply = announcement.ok
      ? await this.#accept(announcement.val)
      : problemReply(announcement.val as Fault);
    writeReply(request, response, reply);
  }

  /** Acknowledges a leaving target only once the leader knows of it, so that the target may rely on the answer. */
  async #accept(announcement: Announcement): Promise<HttpReply> {
    const { leaseController, clock, settings } = this.#parts;
    const changed = leaseController.registry.announce(
      announcement,
      clock.monotonic(),
    );
    const version = leaseController.registry.version;
    if (changed) {
      await this.#reportToLeader(
        version,
        announcement.condition === "leaving" ? MAX_LEAVING_RENEWALS : 0,
      );
    }
    if (
      announcement.condition === "leaving" &&
      !leaseController.hasReported(version)
    ) {
      return problemReply(
        fault(
          "no_leader",
          "The leader does not know yet that this target is leaving",
          {
            retryAfterMs: settings.targets.announceEveryMs,
          },
        ),
      );
    }
    return jsonReply({
      announceEveryMs: leaseController.registry.announceEveryMs,
    });
  }

  async #reportToLeader(version: number, maxRenewals: number): Promise<void> {
    const { leaseController } = this.#parts;
    const first = leaseController.renew();
    for (
      let round = 0;
      round < maxRenewals && !leaseController.hasReported(version);
      round++
    ) {
      await (round === 0 ? first : leaseController.renew());
    }
  }
}

/** Returns the path that the target receives: the part after the service name. */
function pathBelow(url: string, service: string): string {
  const rest = url.slice(service.length + 1);
  return rest.startsWith("/") ? rest : `/${rest}`;
}

function noRouteFault(): Fault {
  return fault("not_found", "No service is named in the path", {
    outcome: "not run",
    remedy: "Use the path /SERVICE/...",
  });
}

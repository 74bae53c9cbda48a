/**
 * The entry role of a daemon: wires up the lease, routing and request handling.
 *
 * @module
 */
import { Router, routesOf, type Settings, type View } from "@quetzalcove/core";
import type { Clock } from "../clock.ts";
import { HttpServer, type ServerLimits } from "../http_server.ts";
import type { Component } from "../lifecycle.ts";
import type { Log } from "../observe/log.ts";
import type { Metrics } from "../observe/metrics.ts";
import type { Tracing } from "../observe/tracing.ts";
import { Dispatcher } from "./dispatcher.ts";
import { Forwarder } from "./forwarder.ts";
import { EntryApi } from "./entry_api.ts";
import { InFlightRequests } from "./in_flight_requests.ts";
import type { LeaderClient } from "./leader_client.ts";
import { LedgerClient } from "./ledger_client.ts";
import { LeaseController, type RenewalReport } from "./lease_controller.ts";
import { RequestHandler } from "./request_handler.ts";
import { Usage } from "./usage.ts";

/** Dependencies of an entry. */
export interface EntryParts {
  settings: Settings;
  leader: LeaderClient;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  tracing: Tracing;
  random: () => number;
  server: ServerLimits;
}

/** Delay of a renewal that is requested early for more slots; bounds the rate of such renewals. */
const EARLY_RENEWAL_DELAY_MS = 100;

export class Entry {
  readonly leaseController: LeaseController;
  readonly api: EntryApi;
  readonly #parts: EntryParts;
  readonly #router: Router;
  readonly #dispatcher: Dispatcher;
  readonly #forwarder: Forwarder;
  readonly #inFlight = new InFlightRequests();
  readonly #usage: Usage;
  #earlyRenewalTimer: NodeJS.Timeout | undefined;

  constructor(parts: EntryParts) {
    const { settings, leader, clock, log, metrics, tracing, random } = parts;
    this.#parts = parts;
    this.#usage = new Usage(metrics);
    this.#forwarder = new Forwarder(settings.forward, parts.server.memory);
    this.#router = new Router({
      entry: settings.entry,
      incarnation: Math.floor(clock.wall()),
      random,
    });
    this.#dispatcher = new Dispatcher(
      this.#router,
      clock,
      () => this.#renewIfSlotsNeeded(),
    );
    this.leaseController = new LeaseController({
      settings,
      leader,
      clock,
      log,
      incarnation: Math.floor(clock.wall()),
      report: (view, term) => this.#renewalReport(view, term),
      onChange: () => this.#updateRouter(),
      onAllowance: (allowance) => {
        this.#dispatcher.applyToRouter((router, now) =>
          router.setAllowance(allowance, now)
        );
      },
    });
    const requestHandler = new RequestHandler({
      settings,
      leaseController: this.leaseController,
      forwarder: this.#forwarder,
      tracing,
      inFlight: this.#inFlight,
      dispatcher: this.#dispatcher,
      ledger: new LedgerClient(leader),
      usage: this.#usage,
      clock,
      log,
    });
    const { leaseController } = this;
    this.api = new EntryApi({
      settings,
      leaseController,
      requestHandler,
      tracing,
      metrics,
      clock,
    });
    this.#registerGauges(metrics);
  }

  /** Returns the components of the entry in the order in which they start. */
  components(): Component[] {
    const { settings, server } = this.#parts;
    return [
      this.#forwarder,
      this.#dispatcher,
      this.leaseController,
      new HttpServer({
        name: "service server",
        address: settings.listen.service,
        ...server,
        listener: (request, response) => this.api.handle(request, response),
      }),
    ];
  }

  #renewalReport(view: View, term: number): RenewalReport {
    const inFlight: Record<string, number> = {};
    for (const [vm, count] of this.#inFlight.entries()) {
      if (view.vms.get(vm)?.phase !== "serving") {
        inFlight[vm] = count;
      }
    }
    const now = this.#parts.clock.monotonic();
    return {
      inFlight,
      usage: this.#usage.read(),
      unhealthy: this.#ejectedTargets(now),
      slots: this.#router.report(term, now),
    };
  }

  #ejectedTargets(now: number): string[] {
    return this.#router.describe(now)
      .flatMap((pool) => pool.targets)
      .filter((target) => target.standing === "ejected")
      .map((target) => target.target);
  }

  /** Updates the router and the connections after a change of the view or the target table. */
  #updateRouter(): void {
    const { view } = this.leaseController;
    const targets = this.leaseController.targets();
    const routes = routesOf(targets, {
      service: (name) => view.service(name),
      vm: (name) => view.vms.get(name),
    });
    this.#forwarder.retain(targets);
    this.#dispatcher.applyToRouter((router, now) =>
      router.setServices(view.rules.services, now)
    );
    this.#dispatcher.applyToRouter((router, now) =>
      router.setTargets(routes, now)
    );
  }

  #renewIfSlotsNeeded(): void {
    if (this.#earlyRenewalTimer === undefined && this.#router.needsSlots()) {
      this.#earlyRenewalTimer = setTimeout(() => {
        this.#earlyRenewalTimer = undefined;
        void this.leaseController.renew();
      }, EARLY_RENEWAL_DELAY_MS);
    }
  }

  #registerGauges(metrics: Metrics): void {
    const { clock } = this.#parts;
    metrics.gauge(
      "quetzalcove_view_revision",
      () => this.leaseController.view.revision,
    );
    metrics.gauge(
      "quetzalcove_requests_in_progress",
      () => this.api.inProgress,
    );
    metrics.gauge(
      "quetzalcove_lease_seconds",
      () => this.leaseController.lease.remainingMs(clock.monotonic()) / 1_000,
    );
  }
}

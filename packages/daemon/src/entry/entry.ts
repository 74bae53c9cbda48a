/**
 * The entry role of a daemon: membership, routing and the path of requests, put together.
 *
 * @module
 */
import { Router, routesOf, type Settings, type View } from "@quetzalcove/core";
import type { Clock } from "../clock.ts";
import { HttpServer } from "../http_server.ts";
import type { Component } from "../lifecycle.ts";
import type { Log } from "../observe/log.ts";
import type { Metrics } from "../observe/metrics.ts";
import type { Tracing } from "../observe/tracing.ts";
import { Dispatcher } from "./dispatcher.ts";
import { Forwarder } from "./forwarder.ts";
import { Front } from "./front.ts";
import { InFlight } from "./in_flight.ts";
import type { LeaderClient } from "./leader_client.ts";
import { LedgerClient } from "./ledger_client.ts";
import { MembershipTask, type Report } from "./membership_task.ts";
import { RequestPath } from "./request_path.ts";
import { Usage } from "./usage.ts";

/** What an entry needs. */
export interface EntryParts {
  settings: Settings;
  leader: LeaderClient;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  tracing: Tracing;
  random: () => number;
}

/** Least time between two renewals that are asked for early, in milliseconds. */
const EARLY_RENEWAL_MS = 100;

export class Entry {
  readonly membership: MembershipTask;
  readonly front: Front;
  readonly #parts: EntryParts;
  readonly #router: Router;
  readonly #dispatcher: Dispatcher;
  readonly #forwarder: Forwarder;
  readonly #inFlight = new InFlight();
  readonly #usage: Usage;
  #earlyRenewal: NodeJS.Timeout | undefined;

  constructor(parts: EntryParts) {
    const { settings, leader, clock, log, metrics, tracing, random } = parts;
    this.#parts = parts;
    this.#usage = new Usage(metrics);
    this.#forwarder = new Forwarder(settings.forward);
    this.#router = new Router({
      entry: settings.entry,
      incarnation: Math.floor(clock.wall()),
      random,
    });
    this.#dispatcher = new Dispatcher(
      this.#router,
      clock,
      () => this.#renewWhenShort(),
    );
    this.membership = new MembershipTask({
      settings,
      leader,
      clock,
      log,
      incarnation: Math.floor(clock.wall()),
      report: (view, term) => this.#report(view, term),
      onChange: () => this.#follow(),
      onAllowance: (allowance) => {
        this.#dispatcher.drive((router, now) =>
          router.setAllowance(allowance, now)
        );
      },
    });
    const path = new RequestPath({
      settings,
      membership: this.membership,
      forwarder: this.#forwarder,
      tracing,
      inFlight: this.#inFlight,
      dispatcher: this.#dispatcher,
      ledger: new LedgerClient(leader),
      usage: this.#usage,
      clock,
      log,
    });
    const { membership } = this;
    this.front = new Front({
      settings,
      membership,
      path,
      tracing,
      metrics,
      clock,
    });
    this.#registerGauges(metrics);
  }

  /** The components of the entry in the order in which they start. */
  components(): Component[] {
    const { settings } = this.#parts;
    return [
      this.#forwarder,
      this.#dispatcher,
      this.membership,
      new HttpServer({
        name: "service server",
        address: settings.listen.service,
        limits: settings.limits,
        listener: (request, response) => this.front.handle(request, response),
      }),
    ];
  }

  #report(view: View, term: number): Report {
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
      unhealthy: this.#ejected(now),
      slots: this.#router.report(term, now),
    };
  }

  #ejected(now: number): string[] {
    return this.#router.describe(now)
      .flatMap((pool) => pool.targets)
      .filter((target) => target.standing === "ejected")
      .map((target) => target.target);
  }

  /** Takes a changed view or table of targets over into the router. */
  #follow(): void {
    const { view } = this.membership;
    const targets = this.membership.targets();
    const routes = routesOf(targets, {
      service: (name) => view.service(name),
      vm: (name) => view.vms.get(name),
    });
    this.#forwarder.retain(targets);
    this.#dispatcher.drive((router, now) =>
      router.setServices(view.rules.services, now)
    );
    this.#dispatcher.drive((router, now) => router.setTargets(routes, now));
  }

  #renewWhenShort(): void {
    if (this.#earlyRenewal === undefined && this.#router.needsSlots()) {
      this.#earlyRenewal = setTimeout(() => {
        this.#earlyRenewal = undefined;
        void this.membership.renew();
      }, EARLY_RENEWAL_MS);
    }
  }

  #registerGauges(metrics: Metrics): void {
    const { clock } = this.#parts;
    metrics.gauge(
      "quetzalcove_view_revision",
      () => this.membership.view.revision,
    );
    metrics.gauge(
      "quetzalcove_requests_in_progress",
      () => this.front.inProgress,
    );
    metrics.gauge(
      "quetzalcove_lease_seconds",
      () => this.membership.lease.remainingMs(clock.monotonic()) / 1_000,
    );
  }
}

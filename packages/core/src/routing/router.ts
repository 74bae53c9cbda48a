/**
 * Request router of one entry: decides which request is sent to which target, queued, retried or refused. It only
 * uses slots that the leader granted to this entry under a lease, so entries together never exceed a target's slots.
 *
 * @module
 */
import type { Fault } from "../fault.ts";
import {
  type Admission,
  capacityAdmission,
  loadOf,
  meetsDeadline,
  queueDeadlineOf,
  refusal,
} from "./admission.ts";
import { type Allowance, Allowances } from "./allowances.ts";
import {
  type Attempt,
  countByTarget,
  mayRetry,
  nextDeadline,
  recordCompletion,
  recordMayHaveRun,
  recordTimeout,
  releaseSlot,
  startAttempt,
} from "./attempts.ts";
import {
  describeService,
  needsOf,
  type ServiceDescription,
} from "./description.ts";
import { addressOf, ServiceState } from "./service_state.ts";
import {
  type DecisionContext,
  noLease,
  noTarget,
  overloaded,
  reject,
  timedOut,
  tooLate,
  unknownService,
} from "./refusals.ts";
import { chooseTarget, type Match, nextMatch } from "./selection.ts";
import type { SlotReport } from "./slot_report.ts";
import type {
  Completion,
  Route,
  RoutingDecision,
  ServiceConfig,
  Submission,
} from "./router_types.ts";
import type { PendingRequest } from "./request_queue.ts";

/** Options of a router. */
export interface RouterOptions {
  entry: string;
  incarnation: number;
  /** Random numbers in [0, 1). */
  random: () => number;
  admission?: Admission;
}

/** Router of one entry. It reads no clock and sets no timers; `now` is the caller's monotonic time in milliseconds. */
export class Router {
  readonly #options: RouterOptions;
  readonly #admission: Admission;
  readonly #allowances = new Allowances();
  readonly #services = new Map<string, ServiceState>();
  readonly #waiting = new Map<string, PendingRequest>();
  readonly #attempts = new Map<string, Attempt>();
  #routes: readonly Route[] = [];
  #wakeup = Number.POSITIVE_INFINITY;
  #reportCount = 0;
  #startedAt = Number.POSITIVE_INFINITY;

  constructor(options: RouterOptions) {
    this.#options = options;
    this.#admission = options.admission ?? capacityAdmission;
  }

  /** Replaces the services; queued requests of a removed service are refused. */
  setServices(
    configs: readonly ServiceConfig[],
    now: number,
  ): RoutingDecision[] {
    this.#startedAt = Math.min(this.#startedAt, now);
    const decisions: RoutingDecision[] = [];
    const names = new Set(configs.map((config) => config.name));
    for (const [name, service] of this.#services) {
      if (!names.has(name)) {
        decisions.push(...this.#refuseAll(service, unknownService(name)));
        this.#services.delete(name);
      }
    }
    for (const config of configs) {
      const service = this.#services.get(config.name);
      if (service === undefined) {
        this.#services.set(config.name, new ServiceState(config));
      } else {
        service.config = config;
      }
    }
    return [...decisions, ...this.setTargets(this.#routes, now)];
  }

  /** Replaces the table of targets. */
  setTargets(routes: readonly Route[], now: number): RoutingDecision[] {
    this.#routes = routes;
    const serviceNames = new Map(routes.map((r) => [r.target, r.service]));
    for (const [name, service] of this.#services) {
      for (const target of [...service.targets.keys()]) {
        if (serviceNames.get(target) !== name) {
          service.removeTarget(target);
        }
      }
    }
    for (const route of routes) {
      const allowance = this.#allowances.slotsAt(route.target);
      this.#services.get(route.service)?.putTarget(route, { allowance, now });
    }
    return this.#dispatchAllWaiting(now);
  }

  /** Applies the leader's answer to a report; one that is late or out of order is ignored. */
  setAllowance(allowance: Allowance, now: number): RoutingDecision[] {
    if (!this.#allowances.apply(allowance, now)) {
      return [];
    }
    this.#updateAllowances();
    this.#scheduleWakeup(this.#allowances.until);
    return this.#dispatchAllWaiting(now);
  }

  /** Sends, queues or refuses a new request. */
  submit(submission: Submission, now: number): RoutingDecision[] {
    const { id, service: name, priority } = submission;
    const service = this.#services.get(name);
    if (service === undefined) {
      return [{ kind: "refuse", id, fault: unknownService(name) }];
    }
    if (!this.#allowances.isValid(now)) {
      return [{ kind: "refuse", id, fault: noLease() }];
    }
    if (!service.hasTargets) {
      return [{ kind: "refuse", id, fault: noTarget(name) }];
    }
    if (priority !== "overnight") {
      service.arrivals.add(now);
    }
    const request: PendingRequest = {
      ...submission,
      submittedAt: now,
      queueDeadline: queueDeadlineOf(service, submission, now),
      attempt: 1,
      tried: [],
    };
    const fault = this.#refusalOf(service, request, now);
    return fault === undefined
      ? this.#enqueue(service, request, now)
      : this.#enqueueByEviction(service, request, { now, fault });
  }

  /** Records how an attempt ended, frees its slot, and retries the request or starts queued ones. */
  complete(id: string, completion: Completion, now: number): RoutingDecision[] {
    const attempt = this.#attempts.get(id);
    if (attempt === undefined) {
      return [];
    }
    this.#attempts.delete(id);
    releaseSlot(attempt);
    recordCompletion(attempt, completion, now);
    const next = attempt.callerDone
      ? []
      : this.#afterAttempt(attempt, completion, now);
    return [...next, ...this.#dispatchWaiting(attempt.service, now)];
  }

  /** Drops a request whose caller disconnected. One in flight keeps its slot until `complete`. */
  cancel(id: string, now: number): RoutingDecision[] {
    const attempt = this.#attempts.get(id);
    if (attempt !== undefined) {
      attempt.callerDone = true;
      return [];
    }
    const request = this.#waiting.get(id);
    const service = this.#services.get(request?.service ?? "");
    if (request === undefined || service === undefined) {
      return [];
    }
    this.#dequeue(service, request);
    return this.#dispatchWaiting(service, now);
  }

  /** Refuses queued requests that waited too long, times out attempts past their deadlines, and starts requests. */
  expire(now: number): RoutingDecision[] {
    const decisions: RoutingDecision[] = [];
    for (const service of this.#services.values()) {
      if (!this.#allowances.isValid(now)) {
        decisions.push(...this.#refuseAll(service, noLease()));
      }
      for (const request of service.queue.expired(now)) {
        decisions.push(this.#refuseWaiting(service, request, now));
      }
    }
    for (const [id, attempt] of this.#attempts) {
      if (!attempt.callerDone && attempt.request.deadline <= now) {
        recordTimeout(attempt, now);
        const { target, service: name } = attempt.target.route;
        const fault = timedOut(name, target);
        decisions.push({ kind: "timeout", id, target, fault });
      }
    }
    decisions.push(...this.#dispatchAllWaiting(now));
    this.#wakeup = this.#computeWakeup(now);
    return decisions;
  }

  /** Latest time for the next call of `expire`; infinite when nothing is due. */
  nextWakeup(): number {
    return this.#wakeup;
  }

  /** Whether a dispatched request may still be sent; to be called right before its first byte is sent. */
  mayStart(id: string, now: number): boolean {
    const attempt = this.#attempts.get(id);
    return attempt !== undefined && this.#allowances.isValid(now) &&
      attempt.target.route.state === "serving" &&
      attempt.request.deadline > now && !attempt.callerDone;
  }

  /** Makes the report to the leader of an epoch; from then on, grants of earlier epochs are ignored. */
  report(epoch: number, now: number): SlotReport {
    this.#allowances.prepareReport(epoch, now);
    this.#updateAllowances();
    this.#reportCount += 1;
    this.#startedAt = Math.min(this.#startedAt, now);
    return {
      entry: this.#options.entry,
      incarnation: this.#options.incarnation,
      ageMs: now - this.#startedAt,
      number: this.#reportCount,
      epoch,
      applied: this.#allowances.applied,
      needs: needsOf(this.#services.values(), now),
      held: this.#allowances.held(countByTarget(this.#attempts.values())),
    };
  }

  /** Whether urgent or live requests wait for a service of which this entry holds no slot; it should renew early. */
  needsSlots(): boolean {
    for (const service of this.#services.values()) {
      if (service.queue.urgentAndLiveLength > 0 && service.slots === 0) {
        return true;
      }
    }
    return false;
  }

  /** Describes every service and its targets. */
  describe(now: number): ServiceDescription[] {
    return [...this.#services.values()].map((service) =>
      describeService(service, now)
    );
  }

  #context(now: number): DecisionContext {
    return { now, random: this.#options.random };
  }

  #refusalOf(
    service: ServiceState,
    request: PendingRequest,
    now: number,
  ): Fault | undefined {
    const context = this.#context(now);
    const canStart = service.queue.length === 0 &&
      meetsDeadline(service, request, now) &&
      chooseTarget(service, request, context) !== undefined;
    return canStart
      ? undefined
      : refusal(service, request, { ...context, admission: this.#admission });
  }

  /** Queues a refused request in place of a lower-priority one if the queue is full; otherwise refuses it. */
  #enqueueByEviction(
    service: ServiceState,
    request: PendingRequest,
    { now, fault }: { now: number; fault: Fault },
  ): RoutingDecision[] {
    const isFull = service.queue.length >= service.config.maxQueue;
    const victim = isFull && fault.kind === "overloaded"
      ? service.queue.evictionCandidate(request.priority)
      : undefined;
    if (victim === undefined) {
      return [{ kind: "refuse", id: request.id, fault }];
    }
    this.#dequeue(service, victim);
    return [reject(victim, fault), ...this.#enqueue(service, request, now)];
  }

  #enqueue(
    service: ServiceState,
    request: PendingRequest,
    now: number,
  ): RoutingDecision[] {
    service.queue.add(request);
    this.#waiting.set(request.id, request);
    const decisions = this.#dispatchWaiting(service, now);
    if (this.#waiting.has(request.id)) {
      this.#scheduleWakeup(
        Math.min(request.queueDeadline, service.nextWakeup(now)),
      );
      decisions.push({ kind: "queue", id: request.id });
    }
    return decisions;
  }

  #afterAttempt(
    attempt: Attempt,
    completion: Completion,
    now: number,
  ): RoutingDecision[] {
    const { request, service, target } = attempt;
    const { id } = request;
    if (completion === "ok" || completion === "unsent") {
      return [];
    }
    if (completion === "reroute") {
      return this.#enqueue(service, request, now);
    }
    recordMayHaveRun(attempt, completion);
    if (mayRetry(attempt, completion, now)) {
      request.tried.push(target.route.target);
      request.attempt += 1;
      request.queueDeadline = queueDeadlineOf(service, request, now);
      return this.#enqueue(service, request, now);
    }
    if (completion === "refused") {
      return [reject(request, overloaded(service, this.#context(now)))];
    }
    const mayHaveRun = request.mayHaveRun !== undefined;
    return [{ kind: "fail", id, completion, mayHaveRun }];
  }

  #dispatchAllWaiting(now: number): RoutingDecision[] {
    return [...this.#services.values()].flatMap((service) =>
      this.#dispatchWaiting(service, now)
    );
  }

  /** Starts queued requests while there are free slots for them. */
  #dispatchWaiting(service: ServiceState, now: number): RoutingDecision[] {
    const decisions: RoutingDecision[] = [];
    if (!this.#allowances.isValid(now)) {
      return decisions;
    }
    let next = nextMatch(service, this.#context(now));
    while (next !== undefined) {
      decisions.push(this.#startOrRefuse(service, next, now));
      next = nextMatch(service, this.#context(now));
    }
    return decisions;
  }

  #startOrRefuse(
    service: ServiceState,
    { request, target }: Match,
    now: number,
  ): RoutingDecision {
    if (request.queueDeadline <= now) {
      return this.#refuseWaiting(service, request, now);
    }
    this.#dequeue(service, request);
    const { id, attempt } = request;
    this.#attempts.set(id, startAttempt(service, request, { target, now }));
    this.#scheduleWakeup(request.deadline);
    this.#admission.started(loadOf(service), now - request.submittedAt, now);
    return { kind: "send", id, attempt, ...addressOf(target) };
  }

  #refuseWaiting(
    service: ServiceState,
    request: PendingRequest,
    now: number,
  ): RoutingDecision {
    this.#dequeue(service, request);
    const context = this.#context(now);
    const isTooLate = now + service.runTime.mean >= request.deadline;
    const fault = isTooLate
      ? tooLate(service, request.deadline, context)
      : overloaded(service, context);
    return reject(request, fault);
  }

  #refuseAll(service: ServiceState, fault: Fault): RoutingDecision[] {
    return service.queue.all().map((request) => {
      this.#dequeue(service, request);
      return reject(request, fault);
    });
  }

  #dequeue(service: ServiceState, request: PendingRequest): void {
    service.queue.remove(request);
    this.#waiting.delete(request.id);
  }

  #updateAllowances(): void {
    for (const service of this.#services.values()) {
      for (const [name, target] of service.targets) {
        target.allowance = this.#allowances.slotsAt(name);
      }
    }
  }

  #scheduleWakeup(time: number): void {
    this.#wakeup = Math.min(this.#wakeup, time);
  }

  #computeWakeup(now: number): number {
    let earliest = Number.POSITIVE_INFINITY;
    for (const service of this.#services.values()) {
      earliest = Math.min(earliest, service.nextWakeup(now));
    }
    earliest = Math.min(earliest, nextDeadline(this.#attempts.values()));
    const { until } = this.#allowances;
    return until > now ? Math.min(earliest, until) : earliest;
  }
}

/**
 * The decisions of one entry: which request goes to which target, waits, is tried again or is refused. The router
 * only uses slots that the leader granted to this entry under a lease, so entries share the slots of a target
 * without exceeding them.
 *
 * @module
 */
import type { Fault } from "../fault.ts";
import {
  type Admission,
  capacityAdmission,
  endsInTime,
  giveUpAt,
  loadOf,
  refusal,
} from "./admission.ts";
import { type Allowance, Allowances } from "./allowances.ts";
import {
  countByTarget,
  type Flight,
  learn,
  learnTimeout,
  mayRetry,
  nextDeadline,
  noteOutcome,
  release,
  start,
} from "./attempts.ts";
import { describePool, needsOf, type PoolDescription } from "./description.ts";
import { addressOf, Pool } from "./pool.ts";
import {
  giveUp,
  type Moment,
  noLease,
  noTarget,
  overloaded,
  timedOut,
  tooLate,
  unknownService,
} from "./refusals.ts";
import { choose, type Match, nextMatch } from "./selection.ts";
import type { SlotReport } from "./slot_report.ts";
import type {
  Completion,
  Dispatch,
  Route,
  RoutedService,
  RouterSetup,
  Submission,
} from "./submission.ts";
import type { Pending } from "./waiting_line.ts";

/** The routing state of one entry. */
export class Router {
  readonly #setup: RouterSetup;
  readonly #admission: Admission;
  readonly #allowances = new Allowances();
  readonly #pools = new Map<string, Pool>();
  readonly #waiting = new Map<string, Pending>();
  readonly #flights = new Map<string, Flight>();
  #routes: readonly Route[] = [];
  #wakeup = Number.POSITIVE_INFINITY;
  #reports = 0;
  #startedAt = Number.POSITIVE_INFINITY;

  constructor(setup: RouterSetup) {
    this.#setup = setup;
    this.#admission = setup.admission ?? capacityAdmission;
  }

  /** Takes over the services in force; requests that wait for a removed service are refused. */
  setServices(services: readonly RoutedService[], now: number): Dispatch[] {
    this.#startedAt = Math.min(this.#startedAt, now);
    const dispatches: Dispatch[] = [];
    const names = new Set(services.map((service) => service.name));
    for (const [name, pool] of this.#pools) {
      if (!names.has(name)) {
        dispatches.push(...this.#refuseAll(pool, unknownService(name)));
        this.#pools.delete(name);
      }
    }
    for (const service of services) {
      const pool = this.#pools.get(service.name);
      if (pool === undefined) {
        this.#pools.set(service.name, new Pool(service));
      } else {
        pool.service = service;
      }
    }
    return [...dispatches, ...this.setTargets(this.#routes, now)];
  }

  /** Takes over the table of live targets. */
  setTargets(routes: readonly Route[], now: number): Dispatch[] {
    this.#routes = routes;
    const services = new Map(routes.map((r) => [r.target, r.service]));
    for (const [name, pool] of this.#pools) {
      for (const target of [...pool.held.keys()]) {
        if (services.get(target) !== name) {
          pool.drop(target);
        }
      }
    }
    for (const route of routes) {
      const allowance = this.#allowances.of(route.target);
      this.#pools.get(route.service)?.put(route, { allowance, now });
    }
    return this.#pumpAll(now);
  }

  /** Applies the leader's answer to a report; one that came late or out of order is ignored. */
  setAllowance(allowance: Allowance, now: number): Dispatch[] {
    if (!this.#allowances.apply(allowance, now)) {
      return [];
    }
    this.#spreadAllowances();
    this.#wakeAt(this.#allowances.until);
    return this.#pumpAll(now);
  }

  /** Takes a request in: it is sent, queued or refused at once. */
  submit(submission: Submission, now: number): Dispatch[] {
    const { id, service, priority } = submission;
    const pool = this.#pools.get(service);
    if (pool === undefined) {
      return [{ kind: "refuse", id, fault: unknownService(service) }];
    }
    if (!this.#allowances.valid(now)) {
      return [{ kind: "refuse", id, fault: noLease() }];
    }
    if (!pool.hasTargets) {
      return [{ kind: "refuse", id, fault: noTarget(service) }];
    }
    if (priority !== "overnight") {
      pool.arrivals.add(now);
    }
    const pending: Pending = {
      ...submission,
      submittedAt: now,
      giveUpAt: giveUpAt(pool, submission, now),
      attempt: 1,
      tried: [],
    };
    const fault = this.#refusalOf(pool, pending, now);
    return fault === undefined
      ? this.#enqueue(pool, pending, now)
      : this.#displace(pool, pending, { now, fault });
  }

  /** Records how an attempt ended, frees its slot and decides what comes next. */
  complete(id: string, completion: Completion, now: number): Dispatch[] {
    const flight = this.#flights.get(id);
    if (flight === undefined) {
      return [];
    }
    this.#flights.delete(id);
    release(flight);
    learn(flight, completion, now);
    const next = flight.settled
      ? []
      : this.#afterAttempt(flight, completion, now);
    return [...next, ...this.#pump(flight.pool, now)];
  }

  /** Forgets a request whose caller has gone. One in flight keeps its slot until `complete`. */
  cancel(id: string, now: number): Dispatch[] {
    const flight = this.#flights.get(id);
    if (flight !== undefined) {
      flight.settled = true;
      return [];
    }
    const pending = this.#waiting.get(id);
    const pool = this.#pools.get(pending?.service ?? "");
    if (pending === undefined || pool === undefined) {
      return [];
    }
    this.#forget(pool, pending);
    return this.#pump(pool, now);
  }

  /** Refuses what can no longer be met, times out what got no answer, and sends what has become possible. */
  expire(now: number): Dispatch[] {
    const dispatches: Dispatch[] = [];
    for (const pool of this.#pools.values()) {
      if (!this.#allowances.valid(now)) {
        dispatches.push(...this.#refuseAll(pool, noLease()));
      }
      for (const pending of pool.line.expired(now)) {
        dispatches.push(this.#refuseWaiting(pool, pending, now));
      }
    }
    for (const [id, flight] of this.#flights) {
      if (!flight.settled && flight.pending.deadline <= now) {
        learnTimeout(flight, now);
        const { target, service } = flight.held.route;
        const fault = timedOut(service, target);
        dispatches.push({ kind: "timeout", id, target, fault });
      }
    }
    dispatches.push(...this.#pumpAll(now));
    this.#wakeup = this.#computeWakeup(now);
    return dispatches;
  }

  /** When `expire` must be called at the latest; infinite when nothing is due. */
  nextWakeup(): number {
    return this.#wakeup;
  }

  /** Whether a request that was to be sent may still be, right before its first byte. */
  mayStart(id: string, now: number): boolean {
    const flight = this.#flights.get(id);
    return flight !== undefined && this.#allowances.valid(now) &&
      flight.held.route.state === "serving" &&
      flight.pending.deadline > now && !flight.settled;
  }

  /** The report to the leader of an epoch; grants of earlier epochs are ignored from now on. */
  report(epoch: number, now: number): SlotReport {
    this.#allowances.enter(epoch, now);
    this.#spreadAllowances();
    this.#reports += 1;
    this.#startedAt = Math.min(this.#startedAt, now);
    return {
      entry: this.#setup.entry,
      incarnation: this.#setup.incarnation,
      ageMs: now - this.#startedAt,
      number: this.#reports,
      epoch,
      applied: this.#allowances.applied,
      needs: needsOf(this.#pools.values(), now),
      held: this.#allowances.held(countByTarget(this.#flights.values())),
    };
  }

  /** Whether requests wait for a service of which this entry holds no slot, so that it should renew early. */
  isShort(): boolean {
    for (const pool of this.#pools.values()) {
      if (pool.line.urgentAndLive > 0 && pool.slots === 0) {
        return true;
      }
    }
    return false;
  }

  /** A snapshot for the status page. */
  describe(now: number): PoolDescription[] {
    return [...this.#pools.values()].map((pool) => describePool(pool, now));
  }

  #moment(now: number): Moment {
    return { now, random: this.#setup.random };
  }

  #refusalOf(pool: Pool, pending: Pending, now: number): Fault | undefined {
    const moment = this.#moment(now);
    const idle = pool.line.length === 0 &&
      endsInTime(pool, pending, now) &&
      choose(pool, pending, moment) !== undefined;
    return idle
      ? undefined
      : refusal(pool, pending, { ...moment, admission: this.#admission });
  }

  /** Lets a request of a higher class take the place of the last one of a lower class in a full queue. */
  #displace(
    pool: Pool,
    pending: Pending,
    { now, fault }: { now: number; fault: Fault },
  ): Dispatch[] {
    const full = pool.line.length >= pool.service.maxQueue;
    const victim = full && fault.kind === "overloaded"
      ? pool.line.displaceable(pending.priority)
      : undefined;
    if (victim === undefined) {
      return [{ kind: "refuse", id: pending.id, fault }];
    }
    this.#forget(pool, victim);
    return [giveUp(victim, fault), ...this.#enqueue(pool, pending, now)];
  }

  #enqueue(pool: Pool, pending: Pending, now: number): Dispatch[] {
    pool.line.add(pending);
    this.#waiting.set(pending.id, pending);
    const dispatches = this.#pump(pool, now);
    if (this.#waiting.has(pending.id)) {
      this.#wakeAt(Math.min(pending.giveUpAt, pool.nextWakeup(now)));
      dispatches.push({ kind: "queue", id: pending.id });
    }
    return dispatches;
  }

  #afterAttempt(
    flight: Flight,
    completion: Completion,
    now: number,
  ): Dispatch[] {
    const { pending, pool, held } = flight;
    const { id } = pending;
    if (completion === "ok" || completion === "unsent") {
      return [];
    }
    if (completion === "reroute") {
      return this.#enqueue(pool, pending, now);
    }
    noteOutcome(flight, completion);
    if (mayRetry(flight, completion, now)) {
      pending.tried.push(held.route.target);
      pending.attempt += 1;
      pending.giveUpAt = giveUpAt(pool, pending, now);
      return this.#enqueue(pool, pending, now);
    }
    if (completion === "refused") {
      return [giveUp(pending, overloaded(pool, this.#moment(now)))];
    }
    const mayHaveRun = pending.mayHaveRun !== undefined;
    return [{ kind: "fail", id, completion, mayHaveRun }];
  }

  #pumpAll(now: number): Dispatch[] {
    return [...this.#pools.values()].flatMap((pool) => this.#pump(pool, now));
  }

  /** Sends waiting requests for as long as there are slots for them. */
  #pump(pool: Pool, now: number): Dispatch[] {
    const dispatches: Dispatch[] = [];
    if (!this.#allowances.valid(now)) {
      return dispatches;
    }
    let next = nextMatch(pool, this.#moment(now));
    while (next !== undefined) {
      dispatches.push(this.#startOrRefuse(pool, next, now));
      next = nextMatch(pool, this.#moment(now));
    }
    return dispatches;
  }

  #startOrRefuse(pool: Pool, { pending, held }: Match, now: number): Dispatch {
    if (pending.giveUpAt <= now) {
      return this.#refuseWaiting(pool, pending, now);
    }
    this.#forget(pool, pending);
    const { id, attempt } = pending;
    this.#flights.set(id, start(pool, pending, { held, now }));
    this.#wakeAt(pending.deadline);
    this.#admission.started(loadOf(pool), now - pending.submittedAt, now);
    return { kind: "send", id, attempt, ...addressOf(held) };
  }

  #refuseWaiting(pool: Pool, pending: Pending, now: number): Dispatch {
    this.#forget(pool, pending);
    const moment = this.#moment(now);
    const late = now + pool.run.meanMs >= pending.deadline;
    const fault = late
      ? tooLate(pool, pending.deadline, moment)
      : overloaded(pool, moment);
    return giveUp(pending, fault);
  }

  #refuseAll(pool: Pool, fault: Fault): Dispatch[] {
    return pool.line.all().map((pending) => {
      this.#forget(pool, pending);
      return giveUp(pending, fault);
    });
  }

  #forget(pool: Pool, pending: Pending): void {
    pool.line.remove(pending);
    this.#waiting.delete(pending.id);
  }

  #spreadAllowances(): void {
    for (const pool of this.#pools.values()) {
      for (const [target, held] of pool.held) {
        held.allowance = this.#allowances.of(target);
      }
    }
  }

  #wakeAt(time: number): void {
    this.#wakeup = Math.min(this.#wakeup, time);
  }

  #computeWakeup(now: number): number {
    let earliest = Number.POSITIVE_INFINITY;
    for (const pool of this.#pools.values()) {
      earliest = Math.min(earliest, pool.nextWakeup(now));
    }
    earliest = Math.min(earliest, nextDeadline(this.#flights.values()));
    const { until } = this.#allowances;
    return until > now ? Math.min(earliest, until) : earliest;
  }
}

/**
 * Simulated entries that each run a router of the core package; the sharing strategy supplies their slots.
 *
 * @module
 */
import {
  type Admission,
  type Completion,
  type Route,
  Router,
  type RoutingDecision,
  type ServiceConfig,
} from "@quetzalcove/core";
import type { RequestOutcome, SimulatedRequest } from "./measures.ts";
import { routes, type Simulation, TARGETS_BY_SERVICE } from "./simulation.ts";

const MAX_QUEUE = 64;

/** Options of the simulated entries. */
export interface FleetSetup {
  /** Declared run time of every service. */
  declaredRunMs: number;
  /** Creates the admission of one entry. */
  admission?: () => Admission;
}

interface PendingRequest {
  request: SimulatedRequest;
  answer: (outcome: RequestOutcome) => void;
}

/** One simulated entry. */
export class SimulatedEntry {
  readonly index: number;
  readonly router: Router;
  /** Called after each batch of router decisions; set by the sharing strategy. */
  onDecision: () => void = () => {};
  /** Called when an attempt has ended; set by the sharing strategy. */
  onCompletion: (target: string, completion: Completion) => void = () => {};
  readonly #simulation: Simulation;
  readonly #pendingRequests = new Map<string, PendingRequest>();
  #wakeupAt = Number.POSITIVE_INFINITY;

  constructor(index: number, simulation: Simulation, setup: FleetSetup) {
    this.index = index;
    this.#simulation = simulation;
    this.router = new Router({
      entry: `entry-${index}`,
      incarnation: 1,
      random: simulation.random.uniform,
      admission: setup.admission?.(),
    });
    const services: ServiceConfig[] = TARGETS_BY_SERVICE.map((_, service) => ({
      name: `service-${service}`,
      maxQueue: MAX_QUEUE,
      expectedRunMs: setup.declaredRunMs,
    }));
    this.router.setServices(services, 0);
    this.router.setTargets(routes(), 0);
  }

  get isLost(): boolean {
    return this.#simulation.lostEntries.has(this.index);
  }

  /** Submits a request; `answer` is called at most once. */
  submit(
    request: SimulatedRequest,
    answer: (outcome: RequestOutcome) => void,
  ): void {
    if (this.isLost) {
      this.#simulation.measures.end(request, "lost", this.#simulation.now);
      return;
    }
    this.#pendingRequests.set(request.id, { request, answer });
    this.execute(this.router.submit(request, this.#simulation.now));
  }

  setTargets(table: readonly Route[]): void {
    this.execute(this.router.setTargets(table, this.#simulation.now));
  }

  /** Marks the open requests as lost; their callers get no answer. */
  lose(): void {
    for (const { request } of this.#pendingRequests.values()) {
      this.#simulation.measures.end(request, "lost", this.#simulation.now);
    }
    this.#pendingRequests.clear();
  }

  /** Executes the decisions of the router. */
  execute(decisions: readonly RoutingDecision[]): void {
    if (this.isLost) {
      return;
    }
    for (const decision of decisions) {
      this.#executeDecision(decision);
    }
    this.#scheduleWakeup();
    this.onDecision();
  }

  #executeDecision(decision: RoutingDecision): void {
    switch (decision.kind) {
      case "send":
        this.#forward(decision.id, decision);
        return;
      case "queue":
        return;
      case "refuse":
        this.#answer(decision.id, "refused");
        return;
      default:
        this.#answer(decision.id, "failed");
    }
  }

  #forward(
    id: string,
    { target, attempt }: { target: string; attempt: number },
  ): void {
    const pendingRequest = this.#pendingRequests.get(id);
    if (pendingRequest === undefined) {
      return;
    }
    if (attempt > 1) {
      this.#simulation.measures.retries += 1;
    }
    const { request } = pendingRequest;
    this.#simulation.forward(target, request, (completion) => {
      if (completion === "ok") {
        this.#answer(id, "ok");
      }
      this.onCompletion(target, completion);
      this.execute(this.router.complete(id, completion, this.#simulation.now));
    });
  }

  #answer(id: string, outcome: RequestOutcome): void {
    this.#pendingRequests.get(id)?.answer(outcome);
    this.#pendingRequests.delete(id);
  }

  #scheduleWakeup(): void {
    const wakeupAt = this.router.nextWakeup();
    if (wakeupAt >= this.#wakeupAt || wakeupAt === Number.POSITIVE_INFINITY) {
      return;
    }
    this.#wakeupAt = wakeupAt;
    this.#simulation.events.at(Math.max(wakeupAt, this.#simulation.now), () => {
      if (this.#wakeupAt === wakeupAt) {
        this.#wakeupAt = Number.POSITIVE_INFINITY;
        this.execute(this.router.expire(this.#simulation.now));
      }
    });
  }
}

/** Creates the entries of a simulation. */
export function entriesOf(
  simulation: Simulation,
  setup: FleetSetup,
): SimulatedEntry[] {
  return Array.from(
    { length: simulation.entries },
    (_, index) => new SimulatedEntry(index, simulation, setup),
  );
}

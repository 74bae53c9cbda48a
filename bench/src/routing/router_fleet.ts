/**
 * Entries that each run a router of the core, without saying where their slots come from.
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
import type { Ending, SimulatedRequest } from "./measures.ts";
import { routes, TARGETS_BY_SERVICE, type World } from "./world.ts";

const MAX_QUEUE = 64;

/** How entries of a fleet are set up. */
export interface FleetSetup {
  /** Declared run time of every service. */
  declaredRunMs: number;
  /** Makes the admission of one entry. */
  admission?: () => Admission;
}

interface Outstanding {
  request: SimulatedRequest;
  answer: (ending: Ending) => void;
}

/** One simulated entry. */
export class SimulatedEntry {
  readonly index: number;
  readonly router: Router;
  /** Called after each decision, for the sharing of slots. */
  onDecision: () => void = () => {};
  /** Called when an attempt ended. */
  onCompletion: (target: string, completion: Completion) => void = () => {};
  readonly #world: World;
  readonly #outstanding = new Map<string, Outstanding>();
  #wakeAt = Number.POSITIVE_INFINITY;

  constructor(index: number, world: World, setup: FleetSetup) {
    this.index = index;
    this.#world = world;
    this.router = new Router({
      entry: `entry-${index}`,
      incarnation: 1,
      random: world.random.uniform,
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
    return this.#world.lost.has(this.index);
  }

  /** Takes a request in; `answer` is called once. */
  submit(request: SimulatedRequest, answer: (ending: Ending) => void): void {
    if (this.isLost) {
      this.#world.measures.end(request, "lost", this.#world.now);
      return;
    }
    this.#outstanding.set(request.id, { request, answer });
    this.act(this.router.submit(request, this.#world.now));
  }

  setTargets(table: readonly Route[]): void {
    this.act(this.router.setTargets(table, this.#world.now));
  }

  /** Loses the entry; its callers get no answer. */
  lose(): void {
    for (const { request } of this.#outstanding.values()) {
      this.#world.measures.end(request, "lost", this.#world.now);
    }
    this.#outstanding.clear();
  }

  /** Carries out the decisions of the router. */
  act(dispatches: readonly RoutingDecision[]): void {
    if (this.isLost) {
      return;
    }
    for (const dispatch of dispatches) {
      this.#carryOut(dispatch);
    }
    this.#scheduleWakeup();
    this.onDecision();
  }

  #carryOut(dispatch: RoutingDecision): void {
    switch (dispatch.kind) {
      case "send":
        this.#forward(dispatch.id, dispatch);
        return;
      case "queue":
        return;
      case "refuse":
        this.#answer(dispatch.id, "refused");
        return;
      default:
        this.#answer(dispatch.id, "failed");
    }
  }

  #forward(
    id: string,
    { target, attempt }: { target: string; attempt: number },
  ): void {
    const outstanding = this.#outstanding.get(id);
    if (outstanding === undefined) {
      return;
    }
    if (attempt > 1) {
      this.#world.measures.retries += 1;
    }
    const { request } = outstanding;
    this.#world.forward(target, request, (completion) => {
      if (completion === "ok") {
        this.#answer(id, "ok");
      }
      this.onCompletion(target, completion);
      this.act(this.router.complete(id, completion, this.#world.now));
    });
  }

  #answer(id: string, ending: Ending): void {
    this.#outstanding.get(id)?.answer(ending);
    this.#outstanding.delete(id);
  }

  #scheduleWakeup(): void {
    const wakeAt = this.router.nextWakeup();
    if (wakeAt >= this.#wakeAt || wakeAt === Number.POSITIVE_INFINITY) {
      return;
    }
    this.#wakeAt = wakeAt;
    this.#world.events.at(Math.max(wakeAt, this.#world.now), () => {
      if (this.#wakeAt === wakeAt) {
        this.#wakeAt = Number.POSITIVE_INFINITY;
        this.act(this.router.expire(this.#world.now));
      }
    });
  }
}

/** Makes the entries of a world. */
export function entriesOf(world: World, setup: FleetSetup): SimulatedEntry[] {
  return Array.from(
    { length: world.entries },
    (_, index) => new SimulatedEntry(index, world, setup),
  );
}

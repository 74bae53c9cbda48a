/**
 * Simulated environment of the routing decisions: clock, network, targets, and load from callers via a load balancer.
 *
 * @module
 */
import type { Completion, Priority, Route } from "@quetzalcove/core";
import { EventQueue } from "./events.ts";
import {
  Measures,
  type RequestOutcome,
  type SimulatedRequest,
} from "./measures.ts";
import { Random } from "./random.ts";
import { type OverflowMode, SimulatedTarget } from "./target.ts";

export const ENTRIES = 9;
export const TARGETS_BY_SERVICE = [6, 6, 7, 7, 9] as const;
export const SLOTS = 8;
export const CONNECTIONS = 64;
export const MEAN_RUN_MS = 80;

const MIN_ONE_WAY_MS = 1;
const MAX_ONE_WAY_MS = 1.5;

/** Connect timeout towards a lost target. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Share of requests that may be retried. */
const REPEATABLE_SHARE = 0.7;
const URGENT_SHARE = 0.05;
const DEADLINE_MS = 2_000;

/** Options of one simulation. */
export interface SimulationOptions {
  seed: number;
  /** Offered urgent and live load, as a multiple of the capacity. */
  load: number;
  warmUpMs: number;
  durationMs: number;
  overflow: OverflowMode;
  entries?: number;
  /** Offered overnight load, as a multiple of the capacity; all of it is due when the run ends. */
  overnightLoad?: number;
}

/** The simulated fleet and its callers. */
export class Simulation {
  readonly events = new EventQueue();
  readonly random: Random;
  readonly measures: Measures;
  readonly options: SimulationOptions;
  readonly entries: number;
  readonly targets = new Map<string, SimulatedTarget>();
  /** Entries that the load balancer sends to. */
  readonly balancedEntries: number[];
  /** Entries that are lost. */
  readonly lostEntries = new Set<number>();
  readonly #network: Random;
  readonly #load: Random;
  #requestCount = 0;

  constructor(options: SimulationOptions) {
    this.options = options;
    this.entries = options.entries ?? ENTRIES;
    this.balancedEntries = Array.from({ length: this.entries }, (_, i) => i);
    this.random = new Random(options.seed);
    this.#network = new Random(options.seed + 1_000_003);
    this.#load = new Random(options.seed + 2_000_003);
    const end = options.warmUpMs + options.durationMs;
    this.measures = new Measures(options.warmUpMs, end);
    for (const route of routes()) {
      const target = new SimulatedTarget(route, this.events, options.overflow);
      this.targets.set(route.target, target);
    }
  }

  get now(): number {
    return this.events.now;
  }

  get end(): number {
    return this.measures.until;
  }

  oneWayMs(): number {
    return this.#network.between(MIN_ONE_WAY_MS, MAX_ONE_WAY_MS);
  }

  /** Delivers a message between two processes after the one-way delay. */
  send(action: () => void): void {
    this.events.after(this.oneWayMs(), action);
  }

  /** Forwards a request to a target and reports its completion back to the entry. */
  forward(
    target: string,
    request: SimulatedRequest,
    done: (completion: Completion) => void,
  ): void {
    this.measures.sends += 1;
    const simulatedTarget = this.targets.get(target) as SimulatedTarget;
    this.send(() => {
      if (simulatedTarget.condition === "lost") {
        this.events.after(CONNECT_TIMEOUT_MS, () => done("unreachable"));
        return;
      }
      simulatedTarget.accept(request.runMs, (completion) => {
        this.send(() => done(completion));
      });
    });
  }

  /** Answers the caller. */
  answer(request: SimulatedRequest, outcome: RequestOutcome): void {
    this.send(() => this.measures.end(request, outcome, this.now));
  }

  /** Starts the load; `arrive` is called with each request at the entry that the load balancer chose. */
  startLoad(arrive: (request: SimulatedRequest, entry: number) => void): void {
    const { load, overnightLoad } = this.options;
    TARGETS_BY_SERVICE.forEach((count, index) => {
      const perMs = count * SLOTS / MEAN_RUN_MS;
      const service = `service-${index}`;
      this.#scheduleArrival(service, { perMs: perMs * load, arrive });
      if (overnightLoad !== undefined) {
        const rate = perMs * overnightLoad;
        this.#scheduleArrival(service, {
          perMs: rate,
          arrive,
          overnight: true,
        });
      }
    });
  }

  run(): void {
    this.events.runUntil(this.end + 2 * DEADLINE_MS);
  }

  #scheduleArrival(
    service: string,
    stream: {
      perMs: number;
      arrive: (request: SimulatedRequest, entry: number) => void;
      overnight?: boolean;
    },
  ): void {
    this.events.after(this.#load.exponential(1 / stream.perMs), () => {
      if (this.now >= this.end) {
        return;
      }
      const request = this.#createRequest(service, stream.overnight === true);
      const entry =
        this.balancedEntries[this.#load.below(this.balancedEntries.length)] ??
          0;
      this.measures.offer(request);
      this.send(() => {
        if (this.lostEntries.has(entry)) {
          this.measures.end(request, "lost", this.now);
          return;
        }
        stream.arrive(request, entry);
      });
      this.#scheduleArrival(service, stream);
    });
  }

  #createRequest(service: string, overnight: boolean): SimulatedRequest {
    this.#requestCount += 1;
    const urgent = this.#load.uniform() < URGENT_SHARE;
    const priority: Priority = overnight
      ? "overnight"
      : urgent
      ? "urgent"
      : "live";
    return {
      id: `r${this.#requestCount}`,
      service,
      priority,
      sentAt: this.now,
      deadline: overnight ? this.end : this.now + DEADLINE_MS,
      repeatable: this.#load.uniform() < REPEATABLE_SHARE,
      runMs: this.#load.logNormal(MEAN_RUN_MS),
      ended: false,
    };
  }
}

/** The route table: every target of the five services. */
export function routes(): Route[] {
  return TARGETS_BY_SERVICE.flatMap((count, service) =>
    Array.from({ length: count }, (_, index) => ({
      target: `t${service}-${index}`,
      service: `service-${service}`,
      address: `127.0.${service + 1}.${index + 1}:80`,
      slots: SLOTS,
      connections: CONNECTIONS,
      state: "serving" as const,
    }))
  );
}

/** Requests per second that all slots together can serve. */
export function capacityPerSecond(): number {
  const targets = TARGETS_BY_SERVICE.reduce((sum, count) => sum + count, 0);
  return targets * SLOTS * 1_000 / MEAN_RUN_MS;
}

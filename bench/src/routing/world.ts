/**
 * The simulated surroundings of the decisions: clock, network, targets, and the load from callers through a balancer.
 *
 * @module
 */
import type { Completion, Priority, Route } from "@quetzalcove/core";
import { Events } from "./events.ts";
import { type Ending, Measures, type SimulatedRequest } from "./measures.ts";
import { Random } from "./random.ts";
import { type Excess, SimulatedTarget } from "./target.ts";

export const ENTRIES = 9;
export const TARGETS_BY_SERVICE = [6, 6, 7, 7, 9] as const;
export const SLOTS = 8;
export const CONNECTIONS = 64;
export const MEAN_RUN_MS = 80;

const MIN_ONE_WAY_MS = 1;
const MAX_ONE_WAY_MS = 1.5;

/** How long a connection to a lost target is tried. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Share of requests that may be sent again. */
const REPEATABLE_SHARE = 0.7;
const URGENT_SHARE = 0.05;
const DEADLINE_MS = 2_000;

/** What one run is made of. */
export interface Setting {
  seed: number;
  /** Offered urgent and live load, as a multiple of the capacity. */
  load: number;
  warmUpMs: number;
  durationMs: number;
  excess: Excess;
  entries?: number;
  /** Offered overnight load, as a multiple of the capacity; all of it is due when the run ends. */
  overnightLoad?: number;
}

/** The simulated fleet and its callers. */
export class World {
  readonly events = new Events();
  readonly random: Random;
  readonly measures: Measures;
  readonly setting: Setting;
  readonly entries: number;
  readonly targets = new Map<string, SimulatedTarget>();
  /** Entries that the balancer sends to. */
  readonly balanced: number[];
  /** Entries that are lost. */
  readonly lost = new Set<number>();
  readonly #network: Random;
  readonly #load: Random;
  #requests = 0;

  constructor(setting: Setting) {
    this.setting = setting;
    this.entries = setting.entries ?? ENTRIES;
    this.balanced = Array.from({ length: this.entries }, (_, i) => i);
    this.random = new Random(setting.seed);
    this.#network = new Random(setting.seed + 1_000_003);
    this.#load = new Random(setting.seed + 2_000_003);
    const end = setting.warmUpMs + setting.durationMs;
    this.measures = new Measures(setting.warmUpMs, end);
    for (const route of routes()) {
      const target = new SimulatedTarget(route, this.events, setting.excess);
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

  /** Carries a message between two processes. */
  send(action: () => void): void {
    this.events.after(this.oneWayMs(), action);
  }

  /** Forwards a request to a target and reports back to the entry how it ended. */
  forward(
    target: string,
    request: SimulatedRequest,
    done: (completion: Completion) => void,
  ): void {
    this.measures.sends += 1;
    const simulated = this.targets.get(target) as SimulatedTarget;
    this.send(() => {
      if (simulated.condition === "lost") {
        this.events.after(CONNECT_TIMEOUT_MS, () => done("unreachable"));
        return;
      }
      simulated.accept(request.runMs, (completion) => {
        this.send(() => done(completion));
      });
    });
  }

  /** Answers the caller. */
  answer(request: SimulatedRequest, ending: Ending): void {
    this.send(() => this.measures.end(request, ending, this.now));
  }

  /** Starts the callers; `arrive` is called with each request at the entry that the balancer chose. */
  offer(arrive: (request: SimulatedRequest, entry: number) => void): void {
    const { load, overnightLoad } = this.setting;
    TARGETS_BY_SERVICE.forEach((count, index) => {
      const perMs = count * SLOTS / MEAN_RUN_MS;
      const service = `service-${index}`;
      this.#arrivals(service, { perMs: perMs * load, arrive });
      if (overnightLoad !== undefined) {
        const rate = perMs * overnightLoad;
        this.#arrivals(service, { perMs: rate, arrive, overnight: true });
      }
    });
  }

  run(): void {
    this.events.runUntil(this.end + 2 * DEADLINE_MS);
  }

  #arrivals(
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
      const request = this.#request(service, stream.overnight === true);
      const entry = this.balanced[this.#load.below(this.balanced.length)] ?? 0;
      this.measures.offer(request);
      this.send(() => {
        if (this.lost.has(entry)) {
          this.measures.end(request, "lost", this.now);
          return;
        }
        stream.arrive(request, entry);
      });
      this.#arrivals(service, stream);
    });
  }

  #request(service: string, overnight: boolean): SimulatedRequest {
    this.#requests += 1;
    const urgent = this.#load.uniform() < URGENT_SHARE;
    const priority: Priority = overnight
      ? "overnight"
      : urgent
      ? "urgent"
      : "live";
    return {
      id: `r${this.#requests}`,
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

/** The targets of the five services. */
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

/** Requests a second that all slots together can serve. */
export function capacityPerSecond(): number {
  const targets = TARGETS_BY_SERVICE.reduce((sum, count) => sum + count, 0);
  return targets * SLOTS * 1_000 / MEAN_RUN_MS;
}

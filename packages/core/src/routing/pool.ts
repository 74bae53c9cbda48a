/**
 * What one entry knows about one service: its targets, the slots it holds there, the requests that wait and what
 * was learned from the requests that ran.
 *
 * @module
 */
import { Health } from "./health.ts";
import { Peak, Rate } from "./levels.ts";
import { RetryBudget } from "./retry_budget.ts";
import { RunTime } from "./run_time.ts";
import type { Route, RoutedService } from "./submission.ts";
import { WaitingLine } from "./waiting_line.ts";

const LIVE_PEAK_HALF_LIFE_MS = 2_000;
const ARRIVAL_TIME_CONSTANT_MS = 2_000;

/** How often waiting overnight work is looked at, since the slots that live work leaves grow with time. */
const OVERNIGHT_CHECK_MS = 250;

/** Fraction of the slots, as a divisor, that overnight work near its deadline may take ahead of live work. */
const OVERNIGHT_RESERVE_DIVISOR = 8;

/** A target and this entry's part of it. */
export interface Held {
  route: Route;
  /** Slots that this entry may use. */
  allowance: number;
  /** Requests of this entry that may be at work on the target. */
  inFlight: number;
  health: Health;
  run: RunTime;
  usedAt: number;
}

/** One service at one entry. */
export class Pool {
  readonly line = new WaitingLine();
  readonly budget = new RetryBudget();
  readonly held = new Map<string, Held>();
  readonly livePeak = new Peak(LIVE_PEAK_HALF_LIFE_MS);
  readonly arrivals = new Rate(ARRIVAL_TIME_CONSTANT_MS);
  service: RoutedService;
  run: RunTime;
  liveInFlight = 0;
  overnightInFlight = 0;

  constructor(service: RoutedService) {
    this.service = service;
    this.run = new RunTime(service.expectedRunMs);
  }

  /** Takes a target in, or its new description. */
  put(
    route: Route,
    { allowance, now }: { allowance: number; now: number },
  ): void {
    const known = this.held.get(route.target);
    if (known === undefined) {
      this.held.set(route.target, {
        route,
        allowance,
        inFlight: 0,
        health: new Health(),
        run: new RunTime(this.run.meanMs),
        usedAt: now,
      });
      return;
    }
    const returned = known.route.state === "absent" &&
      route.state === "serving";
    known.route = route;
    if (returned) {
      known.health.startSlowly();
    }
  }

  /** Drops a target; one with requests in flight is kept as absent until they end. */
  drop(target: string): void {
    const known = this.held.get(target);
    if (known !== undefined && known.inFlight > 0) {
      known.route = { ...known.route, state: "absent" };
      return;
    }
    this.held.delete(target);
  }

  /** When waiting requests of this service must be looked at again. */
  nextWakeup(now: number): number {
    let earliest = this.line.nextGiveUp();
    if (this.line.length === 0) {
      return earliest;
    }
    if (this.line.of("overnight").length > 0) {
      earliest = Math.min(earliest, now + OVERNIGHT_CHECK_MS);
    }
    for (const { health } of this.held.values()) {
      if (health.standing === "ejected" && health.probeAt > now) {
        earliest = Math.min(earliest, health.probeAt);
      }
    }
    return earliest;
  }

  /** Slots at targets that take part in carrying the load. */
  get slots(): number {
    let slots = 0;
    for (const held of this.held.values()) {
      if (held.route.state === "serving" && held.health.carries) {
        slots += held.allowance;
      }
    }
    return slots;
  }

  get inFlight(): number {
    return this.liveInFlight + this.overnightInFlight;
  }

  get hasTargets(): boolean {
    for (const held of this.held.values()) {
      if (held.route.state === "serving") {
        return true;
      }
    }
    return false;
  }

  /** Slots that overnight work near its deadline may take ahead of live work. */
  get overnightReserve(): number {
    return Math.max(1, Math.floor(this.slots / OVERNIGHT_RESERVE_DIVISOR));
  }

  /** Slots that live work has left free recently. */
  overnightSlots(now: number): number {
    return Math.max(0, this.slots - Math.ceil(this.livePeak.value(now) - 0.5));
  }

  /** Mean number of slots that urgent and live callers ask for, by Little's law. */
  liveNeed(now: number): number {
    return this.arrivals.perMs(now) * this.run.meanMs;
  }
}

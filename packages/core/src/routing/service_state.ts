/**
 * State of one service at one entry: targets, slots held, queued requests, arrival rate and run times.
 *
 * @module
 */
import { Health } from "./health.ts";
import { Rate } from "./rate.ts";
import { RetryBudget } from "./retry_budget.ts";
import { RunTime } from "./run_time.ts";
import type { Route, ServiceConfig } from "./router_types.ts";
import { RequestQueue } from "./request_queue.ts";

/** Time constant of the exponentially weighted arrival rate. */
const ARRIVAL_TIME_CONSTANT_MS = 2_000;

/** Slots kept free for urgent and live requests, in standard deviations of their need. */
const LIVE_HEADROOM_DEVIATIONS = 0.5;

/** Interval at which queued overnight requests are rechecked; the spare slots grow as the arrival rate decays. */
const OVERNIGHT_RECHECK_MS = 250;

/** Weight, in samples, of the assumption that a new target is as fast as the others. */
const TARGET_PRIOR_SAMPLES = 16;

/** Window of a service's mean run time, in samples. */
const MAX_SERVICE_SAMPLES = 256;

/** Divisor of the slots that admission reserves for overnight requests; at least one slot is reserved. */
const OVERNIGHT_RESERVE_DIVISOR = 8;

/** State of one target at this entry. */
export interface TargetState {
  route: Route;
  /** Slots granted to this entry. */
  allowance: number;
  /** Requests of this entry that may be running at the target. */
  inFlight: number;
  health: Health;
  /** Run times at the target as multiples of the service's mean. */
  relativeRunTime: RunTime;
  /** When an attempt last started or stale statistics were last decayed. */
  usedAt: number;
}

/** State of one service at one entry. */
export class ServiceState {
  readonly queue = new RequestQueue();
  readonly retryBudget = new RetryBudget();
  readonly targets = new Map<string, TargetState>();
  readonly arrivals = new Rate(ARRIVAL_TIME_CONSTANT_MS);
  config: ServiceConfig;
  runTime: RunTime;
  liveInFlight = 0;
  overnightInFlight = 0;

  constructor(config: ServiceConfig) {
    this.config = config;
    this.runTime = new RunTime(config.expectedRunMs, {
      maxSamples: MAX_SERVICE_SAMPLES,
    });
  }

  /** Adds or updates a target. One that was absent with requests in flight returns with a slow start. */
  putTarget(
    route: Route,
    { allowance, now }: { allowance: number; now: number },
  ): void {
    const known = this.targets.get(route.target);
    if (known === undefined) {
      this.targets.set(route.target, {
        route,
        allowance,
        inFlight: 0,
        health: new Health(),
        relativeRunTime: new RunTime(1, { weight: TARGET_PRIOR_SAMPLES }),
        usedAt: now,
      });
      return;
    }
    const returned = known.route.state === "absent" &&
      route.state === "serving";
    known.route = route;
    if (returned) {
      known.health.startRamp();
    }
  }

  /** Removes a target; one with requests in flight is kept as absent until they end. */
  removeTarget(target: string): void {
    const known = this.targets.get(target);
    if (known !== undefined && known.inFlight > 0) {
      known.route = { ...known.route, state: "absent" };
      return;
    }
    this.targets.delete(target);
  }

  /** When the queue of this service must be rechecked; infinite when it is empty. */
  nextWakeup(now: number): number {
    let earliest = this.queue.nextQueueDeadline();
    if (this.queue.length === 0) {
      return earliest;
    }
    if (this.queue.ofPriority("overnight").length > 0) {
      earliest = Math.min(earliest, now + OVERNIGHT_RECHECK_MS);
    }
    for (const { health } of this.targets.values()) {
      if (health.state === "ejected" && health.probeAt > now) {
        earliest = Math.min(earliest, health.probeAt);
      }
    }
    return earliest;
  }

  /** Slots held at targets in rotation. */
  get slots(): number {
    let slots = 0;
    for (const target of this.targets.values()) {
      if (target.route.state === "serving" && target.health.isInRotation) {
        slots += target.allowance;
      }
    }
    return slots;
  }

  get inFlight(): number {
    return this.liveInFlight + this.overnightInFlight;
  }

  /** Whether any target is serving. */
  get hasTargets(): boolean {
    for (const target of this.targets.values()) {
      if (target.route.state === "serving") {
        return true;
      }
    }
    return false;
  }

  /** Slots that admission assumes for overnight requests, regardless of the need of live ones. */
  get overnightReservedSlots(): number {
    return Math.max(1, Math.floor(this.slots / OVERNIGHT_RESERVE_DIVISOR));
  }

  /** Slots that overnight requests take ahead of live ones now, so that those admitted end by their deadlines. */
  overnightSlotsAheadOfLive(now: number): number {
    const queue = this.queue.ofPriority("overnight");
    const leftMs = (queue[0]?.deadline ?? Number.POSITIVE_INFINITY) - now;
    const workMs = overnightCompletionMs(this, {
      count: queue.length,
      slots: 1,
      now,
    });
    const needed = workMs / Math.max(this.runTime.mean, leftMs);
    return Math.min(Math.round(needed), Math.ceil(this.slots / 2));
  }

  /** Slots that urgent and live requests leave free, after headroom for their variation (square-root staffing). */
  overnightSpareSlots(now: number): number {
    const need = this.liveNeed(now);
    const kept = need + LIVE_HEADROOM_DEVIATIONS * Math.sqrt(need);
    return Math.max(0, Math.ceil(this.slots - kept));
  }

  /** Mean number of slots that urgent and live requests need, by Little's law; refused requests count too. */
  liveNeed(now: number): number {
    return this.arrivals.perMs(now) * this.runTime.mean;
  }
}

/** Time in milliseconds for `count` overnight requests to end on `slots` slots, with a margin for varying run times. */
export function overnightCompletionMs(
  service: ServiceState,
  { count, slots, now }: { count: number; slots: number; now: number },
): number {
  const { mean: meanMs } = service.runTime;
  const runs = count / Math.max(1, slots);
  const longestMs = Math.max(meanMs, service.runTime.longest(now));
  return (runs + 2 * Math.sqrt(runs)) * meanMs + longestMs;
}

/** Name and address of a target. */
export function addressOf(
  state: TargetState,
): { target: string; address: string } {
  const { target, address } = state.route;
  return { target, address };
}

/**
 * What one entry knows about one service: its targets, the slots it holds there, the requests that wait and what
 * was learned from the requests that ran.
 *
 * @module
 */
import { Health } from "./health.ts";
import { Rate } from "./rate.ts";
import { RetryBudget } from "./retry_budget.ts";
import { RunTime } from "./run_time.ts";
import type { Route, RoutedService } from "./submission.ts";
import { RequestQueue } from "./request_queue.ts";

const ARRIVAL_TIME_CONSTANT_MS = 2_000;

/** Slots kept free for live work, in standard deviations of its need. */
const LIVE_HEADROOM_DEVIATIONS = 0.5;

/** How often waiting overnight work is looked at, since the slots that live work leaves grow with time. */
const OVERNIGHT_RECHECK_MS = 250;

/** Samples that a new target counts as being as fast as the others. */
const TARGET_PRIOR_SAMPLES = 16;

/** Samples after which older ones fade from the mean of a service. */
const MAX_SERVICE_SAMPLES = 256;

/** Part of the slots, as a divisor, that overnight work may count on. */
const OVERNIGHT_RESERVE_DIVISOR = 8;

/** A target and this entry's part of it. */
export interface TargetState {
  route: Route;
  /** Slots that this entry may use. */
  allowance: number;
  /** Requests of this entry that may be at work on the target. */
  inFlight: number;
  health: Health;
  /** Run times at the target as a multiple of the service's mean. */
  relativeRunTime: RunTime;
  usedAt: number;
}

/** One service at one entry. */
export class ServiceState {
  readonly queue = new RequestQueue();
  readonly retryBudget = new RetryBudget();
  readonly targets = new Map<string, TargetState>();
  readonly arrivals = new Rate(ARRIVAL_TIME_CONSTANT_MS);
  config: RoutedService;
  runTime: RunTime;
  liveInFlight = 0;
  overnightInFlight = 0;

  constructor(config: RoutedService) {
    this.config = config;
    this.runTime = new RunTime(config.expectedRunMs, {
      maxSamples: MAX_SERVICE_SAMPLES,
    });
  }

  /** Takes a target in, or its new description. */
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

  /** Drops a target; one with requests in attempt is kept as absent until they end. */
  dropTarget(target: string): void {
    const known = this.targets.get(target);
    if (known !== undefined && known.inFlight > 0) {
      known.route = { ...known.route, state: "absent" };
      return;
    }
    this.targets.delete(target);
  }

  /** When waiting requests of this service must be looked at again. */
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

  /** Slots at targets that take part in carrying the load. */
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

  get hasTargets(): boolean {
    for (const target of this.targets.values()) {
      if (target.route.state === "serving") {
        return true;
      }
    }
    return false;
  }

  /** Slots that overnight work may count on when it is admitted, whatever live work needs. */
  get overnightReservedSlots(): number {
    return Math.max(1, Math.floor(this.slots / OVERNIGHT_RESERVE_DIVISOR));
  }

  /** Slots that overnight work takes ahead of live work now, so that what was admitted ends by its hour. */
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

  /** Slots that live work leaves, with room for its fluctuation (square-root staffing). */
  overnightSpareSlots(now: number): number {
    const need = this.liveNeed(now);
    const kept = need + LIVE_HEADROOM_DEVIATIONS * Math.sqrt(need);
    return Math.max(0, Math.ceil(this.slots - kept));
  }

  /** Mean number of slots that urgent and live callers ask for, by Little's law. */
  liveNeed(now: number): number {
    return this.arrivals.perMs(now) * this.runTime.mean;
  }
}

/** Time in which so many overnight requests end on so many slots, with room for the variation of their runs. */
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

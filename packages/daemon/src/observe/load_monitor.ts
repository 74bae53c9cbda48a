/**
 * Load of the process: processor time, garbage collection, turns and delay of the event loop, and the time that its
 * activities take.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import { type Component, ticker } from "../lifecycle.ts";
import type { Log, LogFields } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import type { RuntimeCounters } from "./runtime_counters.ts";

/** Dependencies of a load monitor. */
export interface LoadMonitorParts {
  clock: Clock;
  log: Log;
  metrics: Metrics;
  runtime: Pick<RuntimeCounters, "collectionMs" | "turns">;
}

/** Interval at which the event loop delay is sampled. */
const SAMPLE_INTERVAL_MS = 100;

/** Interval of reports while the process is loaded. */
const REPORT_INTERVAL_MS = 500;

/** Share of one core, or event loop delay, from which a process counts as loaded and its load is logged. */
const LOADED_SHARE = 0.3;
const LOADED_DELAY_MS = 50;

/** Duration and number of the calls of one activity. */
interface ActivityTotal {
  ms: number;
  count: number;
}

export class LoadMonitor implements Component {
  readonly name = "load monitor";
  readonly #parts: LoadMonitorParts;
  readonly #ticker: Component;
  readonly #activities = new Map<string, ActivityTotal>();
  /** The innermost activity that is being measured. */
  #running: ActivityTotal | undefined;
  #runningSince = 0;
  #sampledAt: number;
  #reportedAt: number;
  #processorMs: number;
  #collectionMs: number;
  #turns: number;
  #maxDelayMs = 0;

  constructor(parts: LoadMonitorParts) {
    const { clock, runtime } = parts;
    this.#parts = parts;
    this.#sampledAt = clock.monotonic();
    this.#reportedAt = this.#sampledAt;
    this.#processorMs = clock.processor();
    this.#ticker = ticker("load samples", SAMPLE_INTERVAL_MS, () => {
      this.#sample();
    });
    this.#collectionMs = runtime.collectionMs();
    this.#turns = runtime.turns();
  }

  start(): Promise<void> {
    this.#sampledAt = this.#parts.clock.monotonic();
    return this.#ticker.start();
  }

  stop(): Promise<void> {
    return this.#ticker.stop();
  }

  /**
   * Runs a synchronous function as part of an activity. The time of another activity within it counts as that of the
   * other one only.
   */
  measure<T>(activity: string, run: () => T): T {
    const outer = this.#running;
    const total = this.#totalOf(activity);
    this.#switchTo(total);
    total.count += 1;
    try {
      return run();
    } finally {
      this.#switchTo(outer);
    }
  }

  #totalOf(activity: string): ActivityTotal {
    let total = this.#activities.get(activity);
    if (total === undefined) {
      total = { ms: 0, count: 0 };
      this.#activities.set(activity, total);
    }
    return total;
  }

  #switchTo(next: ActivityTotal | undefined): void {
    const now = this.#parts.clock.monotonic();
    if (this.#running !== undefined) {
      this.#running.ms += now - this.#runningSince;
    }
    this.#running = next;
    this.#runningSince = now;
  }

  #sample(): void {
    const { clock, metrics } = this.#parts;
    const now = clock.monotonic();
    const delayMs = Math.max(0, now - this.#sampledAt - SAMPLE_INTERVAL_MS);
    this.#sampledAt = now;
    this.#maxDelayMs = Math.max(this.#maxDelayMs, delayMs);
    metrics.observe("quetzalcove_event_loop_delay_seconds", delayMs);
    if (now - this.#reportedAt >= REPORT_INTERVAL_MS) {
      this.#report(now);
    }
  }

  #report(now: number): void {
    const { clock, log, runtime } = this.#parts;
    const processorMs = clock.processor();
    const usedMs = processorMs - this.#processorMs;
    const intervalMs = now - this.#reportedAt;
    const collectionMs = runtime.collectionMs();
    const turns = runtime.turns();
    const activities = this.#takeActivities();
    if (
      usedMs >= LOADED_SHARE * intervalMs || this.#maxDelayMs >= LOADED_DELAY_MS
    ) {
      log.info("process.load", {
        intervalMs: Math.round(intervalMs),
        processorMs: Math.round(usedMs),
        maxDelayMs: Math.round(this.#maxDelayMs),
        collectionMs: Math.round(collectionMs - this.#collectionMs),
        turns: turns - this.#turns,
        ...activities,
      });
    }
    this.#reportedAt = now;
    this.#processorMs = processorMs;
    this.#collectionMs = collectionMs;
    this.#turns = turns;
    this.#maxDelayMs = 0;
  }

  /** Duration and number of the activities since the last report, as log fields; adds them to the metrics. */
  #takeActivities(): LogFields {
    const { metrics } = this.#parts;
    const fields: LogFields = {};
    for (const [activity, { ms, count }] of this.#activities) {
      fields[`${activity}Ms`] = Math.round(ms);
      fields[`${activity}Count`] = count;
      metrics.count(
        "quetzalcove_activity_milliseconds_total",
        { activity },
        ms,
      );
      metrics.count("quetzalcove_activities_total", { activity }, count);
    }
    this.#activities.clear();
    return fields;
  }
}

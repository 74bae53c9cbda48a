/**
 * Load of the process: processor time, event loop delay, and the time that its activities take.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import { type Component, ticker } from "../lifecycle.ts";
import type { Log, LogFields } from "./log.ts";
import type { Metrics } from "./metrics.ts";

/** Dependencies of a load monitor. */
export interface LoadMonitorParts {
  clock: Clock;
  log: Log;
  metrics: Metrics;
}

/** Interval at which the event loop delay is sampled. */
const SAMPLE_INTERVAL_MS = 100;

/** Interval of reports while the process is loaded. */
const REPORT_INTERVAL_MS = 500;

/** Share of one core, or event loop delay, from which a process counts as loaded and its load is logged. */
const LOADED_SHARE = 0.3;
const LOADED_DELAY_MS = 50;

export class LoadMonitor implements Component {
  readonly name = "load monitor";
  readonly #parts: LoadMonitorParts;
  readonly #ticker: Component;
  readonly #activityMs = new Map<string, number>();
  #sampledAt: number;
  #reportedAt: number;
  #processorMs: number;
  #maxDelayMs = 0;

  constructor(parts: LoadMonitorParts) {
    const { clock } = parts;
    this.#parts = parts;
    this.#sampledAt = clock.monotonic();
    this.#reportedAt = this.#sampledAt;
    this.#processorMs = clock.processor();
    this.#ticker = ticker("load samples", SAMPLE_INTERVAL_MS, () => {
      this.#sample();
    });
  }

  start(): Promise<void> {
    this.#sampledAt = this.#parts.clock.monotonic();
    return this.#ticker.start();
  }

  stop(): Promise<void> {
    return this.#ticker.stop();
  }

  /** Runs a synchronous function and adds its duration to an activity. */
  measure<T>(activity: string, run: () => T): T {
    const { clock } = this.#parts;
    const startedAt = clock.monotonic();
    try {
      return run();
    } finally {
      const tookMs = clock.monotonic() - startedAt;
      const sumMs = this.#activityMs.get(activity) ?? 0;
      this.#activityMs.set(activity, sumMs + tookMs);
    }
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
    const { clock, log, metrics } = this.#parts;
    const processorMs = clock.processor();
    const usedMs = processorMs - this.#processorMs;
    const intervalMs = now - this.#reportedAt;
    const activities: LogFields = {};
    for (const [activity, sumMs] of this.#activityMs) {
      activities[`${activity}Ms`] = Math.round(sumMs);
      metrics.count(
        "quetzalcove_activity_milliseconds_total",
        { activity },
        sumMs,
      );
    }
    if (
      usedMs >= LOADED_SHARE * intervalMs || this.#maxDelayMs >= LOADED_DELAY_MS
    ) {
      log.info("process.load", {
        intervalMs: Math.round(intervalMs),
        processorMs: Math.round(usedMs),
        maxDelayMs: Math.round(this.#maxDelayMs),
        ...activities,
      });
    }
    this.#reportedAt = now;
    this.#processorMs = processorMs;
    this.#maxDelayMs = 0;
    this.#activityMs.clear();
  }
}

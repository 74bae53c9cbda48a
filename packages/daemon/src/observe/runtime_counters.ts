/**
 * Counters of the JavaScript runtime: time spent in garbage collection and turns of the event loop.
 *
 * @module
 */
import { performance, PerformanceObserver } from "node:perf_hooks";
import type { Component } from "../lifecycle.ts";

export interface RuntimeCounters extends Component {
  /** Time spent in garbage collection since the start, in milliseconds. */
  collectionMs(): number;
  /** Turns of the event loop since the process started. */
  turns(): number;
}

/** Returns the counters of this process. */
export function runtimeCounters(): RuntimeCounters {
  let collectionMs = 0;
  const observer = new PerformanceObserver((list) => {
    for (const { duration } of list.getEntries()) {
      collectionMs += duration;
    }
  });
  return {
    name: "runtime counters",
    collectionMs: () => collectionMs,
    turns: () => performance.nodeTiming.uvMetricsInfo.loopCount,
    start(): Promise<void> {
      observer.observe({ entryTypes: ["gc"] });
      return Promise.resolve();
    },
    stop(): Promise<void> {
      observer.disconnect();
      return Promise.resolve();
    },
  };
}

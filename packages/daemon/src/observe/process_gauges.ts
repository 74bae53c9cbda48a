/**
 * Gauges of the process, under the names that Prometheus client libraries use.
 *
 * @module
 */
import process from "node:process";
import type { Metrics } from "./metrics.ts";

const US_PER_S = 1_000_000;

/** Registers gauges for the CPU time and memory of this process. */
export function registerProcessGauges(metrics: Metrics): void {
  metrics.gauge("process_cpu_seconds_total", () => {
    const { user, system } = process.cpuUsage();
    return (user + system) / US_PER_S;
  });
  metrics.gauge(
    "process_resident_memory_bytes",
    () => process.memoryUsage.rss(),
  );
  metrics.gauge("nodejs_heap_used_bytes", () => process.memoryUsage().heapUsed);
}

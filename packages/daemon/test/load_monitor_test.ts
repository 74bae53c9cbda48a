import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { Clock } from "../src/clock.ts";
import { LoadMonitor } from "../src/observe/load_monitor.ts";
import type { LogFields } from "../src/observe/log.ts";
import { Metrics } from "../src/observe/metrics.ts";
import { QUIET_LOG, TEST_CLOCK } from "./scheduler_fixture.ts";

describe("the load of a process", () => {
  let processorMs: number;
  let lines: [string, LogFields | undefined][];
  let metrics: Metrics;
  let monitor: LoadMonitor;

  beforeEach(async () => {
    vi.useFakeTimers({ now: 0 });
    processorMs = 0;
    lines = [];
    metrics = new Metrics();
    const clock: Clock = { ...TEST_CLOCK, processor: () => processorMs };
    const log = {
      ...QUIET_LOG,
      info: (event: string, fields?: LogFields) => {
        lines.push([event, fields]);
      },
    };
    monitor = new LoadMonitor({ clock, log, metrics });
    await monitor.start();
  });

  afterEach(async () => {
    await monitor.stop();
    vi.useRealTimers();
  });

  it("is logged with the time of each activity while it is high", async () => {
    processorMs = 400;
    monitor.measure("placement", () => vi.setSystemTime(Date.now() + 30));
    monitor.measure("placement", () => vi.setSystemTime(Date.now() + 10));
    await vi.advanceTimersByTimeAsync(500);
    expect(lines).toEqual([["process.load", {
      intervalMs: 540,
      processorMs: 400,
      maxDelayMs: 40,
      placementMs: 40,
    }]]);
    expect(metrics.text()).toContain(
      'quetzalcove_activity_milliseconds_total{activity="placement"} 40',
    );
  });

  it("is logged when the event loop is late, even if other processes use the processor", async () => {
    await vi.advanceTimersByTimeAsync(400);
    vi.setSystemTime(Date.now() + 80);
    await vi.advanceTimersByTimeAsync(100);
    expect(lines).toMatchObject([["process.load", { maxDelayMs: 80 }]]);
  });

  it("is not logged while it is low", async () => {
    processorMs = 100;
    await vi.advanceTimersByTimeAsync(5_000);
    expect(lines).toEqual([]);
  });
});

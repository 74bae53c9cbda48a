import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { Clock } from "../src/clock.ts";
import { LoadMonitor } from "../src/observe/load_monitor.ts";
import type { LogFields } from "../src/observe/log.ts";
import { Metrics } from "../src/observe/metrics.ts";
import { QUIET_LOG, TEST_CLOCK } from "./scheduler_fixture.ts";

describe("the load of a process", () => {
  let processorMs: number;
  let collectionMs: number;
  let turns: number;
  let lines: [string, LogFields | undefined][];
  let metrics: Metrics;
  let monitor: LoadMonitor;

  beforeEach(async () => {
    vi.useFakeTimers({ now: 0 });
    processorMs = 0;
    collectionMs = 7;
    turns = 100;
    lines = [];
    metrics = new Metrics();
    const clock: Clock = { ...TEST_CLOCK, processor: () => processorMs };
    const log = {
      ...QUIET_LOG,
      info: (event: string, fields?: LogFields) => {
        lines.push([event, fields]);
      },
    };
    const runtime = {
      collectionMs: () => collectionMs,
      turns: () => turns,
    };
    monitor = new LoadMonitor({ clock, log, metrics, runtime });
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
      collectionMs: 0,
      turns: 0,
      placementMs: 40,
      placementCount: 2,
    }]]);
    expect(metrics.text()).toContain(
      'quetzalcove_activity_milliseconds_total{activity="placement"} 40',
    );
    expect(metrics.text()).toContain(
      'quetzalcove_activities_total{activity="placement"} 2',
    );
  });

  it("counts the time of an activity within another one once", async () => {
    processorMs = 400;
    monitor.measure("orders", () => {
      vi.setSystemTime(Date.now() + 5);
      monitor.measure("send", () => vi.setSystemTime(Date.now() + 20));
      vi.setSystemTime(Date.now() + 10);
    });
    await vi.advanceTimersByTimeAsync(500);
    expect(lines).toMatchObject([["process.load", {
      ordersMs: 15,
      sendMs: 20,
    }]]);
  });

  it("is logged with the garbage collection and the turns of the interval", async () => {
    processorMs = 400;
    collectionMs = 57;
    turns = 400;
    await vi.advanceTimersByTimeAsync(500);
    expect(lines).toMatchObject([["process.load", {
      collectionMs: 50,
      turns: 300,
    }]]);
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

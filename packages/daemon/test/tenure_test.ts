import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Ok } from "@quetzalcove/core";
import type { BookCommand, BookOutput } from "@quetzalcove/core/scheduling";
import { book, worker } from "../../core/test/scheduling_fixture.ts";
import { Metrics } from "../src/observe/metrics.ts";
import type { WorkerCalls } from "../src/scheduler/ports.ts";
import { Tenure } from "../src/scheduler/tenure.ts";

const ignore = (): void => {};

describe("a worker that has ended", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it("is called once, and not again while its end is being committed", async () => {
    const jobs = book([worker("w1")]);
    let renewals = 0;
    let commit = ignore;
    const never = (): Promise<never> => Promise.reject(new Error("not called"));
    const calls: WorkerCalls = {
      start: never,
      stop: never,
      pace: never,
      renew: () => {
        renewals += 1;
        return Promise.resolve({ kind: "other_worker" });
      },
      forget: ignore,
    };
    const tenure = new Tenure({
      settings: {
        leaseMs: 4_000,
        maxLeaseMs: 10_000,
        renewalWaitMs: 1_500,
        callTimeoutMs: 1_000,
        stopMs: 200,
        contactMs: 3_000,
      },
      term: 7,
      holder: "n1",
      retentionMs: 60_000,
      fleetCalls: undefined,
      adviceCalls: undefined,
      consensus: {
        state: jobs,
        propose: (command: BookCommand) =>
          new Promise((resolve) => {
            commit = () =>
              resolve(
                jobs.apply(command).map((output): BookOutput => output),
              );
          }),
        barrier: () => Promise.resolve(Ok.EMPTY),
        leadership: () => ({ term: 7, leader: "n1", isLeader: true }),
        replicas: () => [],
        onChange: ignore,
      },
      calls,
      clock: {
        monotonic: () => Date.now(),
        wall: () => Date.now(),
        processor: () => 0,
      },
      log: { debug: ignore, info: ignore, warn: ignore, error: ignore },
      metrics: new Metrics(),
      hasAuthority: () => true,
    });
    await tenure.start();
    await vi.advanceTimersByTimeAsync(1_000);
    expect(renewals).toBe(1);
    commit();
    await vi.advanceTimersByTimeAsync(1_000);
    expect([renewals, jobs.workers.size]).toEqual([1, 0]);
    await tenure.stop();
  });
});

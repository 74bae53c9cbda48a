import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type {
  JobStoreCommand,
  JobStoreOutput,
} from "@quetzalcove/core/scheduling";
import { newJobStore, worker } from "../../core/test/scheduling_fixture.ts";
import { Metrics } from "../src/observe/metrics.ts";
import type { WorkerClient } from "../src/scheduler/platform_clients.ts";
import { LeadershipTerm } from "../src/scheduler/leadership_term.ts";
import {
  consensusOf,
  ignore,
  QUIET_LOG,
  TEST_CLOCK,
  WORKER_SETTINGS,
} from "./scheduler_fixture.ts";

describe("a worker that has ended", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it("is called once, and not again while its removal is being committed", async () => {
    const jobStore = newJobStore([worker("w1")]);
    let renewals = 0;
    let commit = ignore;
    const notExpected = (): Promise<never> =>
      Promise.reject(new Error("not called"));
    const client: WorkerClient = {
      start: notExpected,
      stop: notExpected,
      pace: notExpected,
      renew: () => {
        renewals += 1;
        return Promise.resolve({ kind: "other_worker" });
      },
      disconnect: ignore,
    };
    const leadershipTerm = new LeadershipTerm({
      settings: WORKER_SETTINGS,
      term: 7,
      holder: "n1",
      retentionMs: 60_000,
      vmClient: undefined,
      advisorClient: undefined,
      consensus: consensusOf(jobStore, {
        propose: (command: JobStoreCommand) =>
          new Promise((resolve) => {
            commit = () =>
              resolve(
                jobStore.apply(command).map((output): JobStoreOutput => output),
              );
          }),
      }),
      client,
      clock: TEST_CLOCK,
      log: QUIET_LOG,
      metrics: new Metrics(),
      isConfirmedLeader: () => true,
      measure: (_, run) => run(),
    });
    await leadershipTerm.start();
    await vi.advanceTimersByTimeAsync(1_000);
    expect(renewals).toBe(1);
    commit();
    await vi.advanceTimersByTimeAsync(1_000);
    expect([renewals, jobStore.workers.size]).toEqual([1, 0]);
    await leadershipTerm.stop();
  });
});

import { expect, it } from "vitest";
import { newJobStore } from "../../core/test/scheduling_fixture.ts";
import { Metrics } from "../src/observe/metrics.ts";
import type { CallRouter } from "../src/scheduler/call_relay/mod.ts";
import { LeaderController } from "../src/scheduler/leader_controller.ts";
import {
  consensusOf,
  ignore,
  memoryOf,
  PLACEMENT_SETTINGS,
  QUIET_LOG,
  TEST_CLOCK,
  WORKER_SETTINGS,
} from "./scheduler_fixture.ts";

// Guards against a term that goes on for ever on a replica that no longer leads.
it("starts no term if leadership is lost while the other replicas are asked to relay calls", async () => {
  let isLeader = true;
  let onChange = ignore;
  let finishStart = ignore;
  let isRouterStopped = false;
  const controller = new LeaderController({
    settings: WORKER_SETTINGS,
    consensus: consensusOf(newJobStore([]), {
      leadership: () => ({ term: 7, leader: "n1", isLeader }),
      onChange: (listener) => {
        onChange = listener;
      },
    }),
    createRouter: () =>
      ({
        start: () =>
          new Promise<void>((resolve) => {
            finishStart = resolve;
          }),
        stop: () => {
          isRouterStopped = true;
          return Promise.resolve();
        },
      }) as unknown as CallRouter,
    vmClient: undefined,
    advisorClient: undefined,
    holder: "n1",
    retentionMs: 60_000,
    memory: memoryOf({ state: newJobStore([]) }),
    reclaimsBusyVms: false,
    placement: PLACEMENT_SETTINGS,
    clock: TEST_CLOCK,
    log: QUIET_LOG,
    metrics: new Metrics(),
    isConfirmedLeader: () => isLeader,
    measure: (_, run) => run(),
  });
  await controller.start();
  onChange();
  await new Promise((resolve) => setTimeout(resolve, 10));
  isLeader = false;
  onChange();
  finishStart();
  await new Promise((resolve) => setTimeout(resolve, 10));
  expect(controller.describe()).toBeUndefined();
  expect(isRouterStopped).toBe(true);
  await controller.stop();
});

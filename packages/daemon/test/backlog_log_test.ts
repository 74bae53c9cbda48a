import { expect, it } from "vitest";
import {
  ArrivalRates,
  poolDemands,
  WorkEstimate,
} from "@quetzalcove/core/scheduling";
import {
  newJobStore,
  spec,
  step,
  worker,
} from "../../core/test/scheduling_fixture.ts";
import type { LogFields } from "../src/observe/log.ts";
import { logBacklogs } from "../src/scheduler/backlog_log.ts";
import { QUIET_LOG } from "./scheduler_fixture.ts";

it("the log of a backlog tells waiting work from free capacity, by pool", () => {
  const workers = [worker("w1"), worker("w2")];
  const jobStore = newJobStore(workers);
  const submit = (id: string, atMs: number): void => {
    const job = { id, queue: "reports", pool: "intake", spec: spec(step()) };
    jobStore.apply({ kind: "submit", jobs: [job], atMs });
  };
  submit("a", 0);
  submit("b", 9_000);
  const estimate = new WorkEstimate();
  const lines: [string, LogFields | undefined][] = [];
  logBacklogs(
    {
      jobStore,
      demands: poolDemands(jobStore, new ArrivalRates(0), estimate, 10_000),
      usableWorkers: new Map([["intake", workers]]),
      leftOutWorkers: [
        { worker: "w3", pool: "intake", reason: "failures", endsInMs: 11_500 },
        { worker: "w4", pool: "intake", reason: "silent", endsInMs: undefined },
        { worker: "w5", pool: "charts", reason: "silent", endsInMs: undefined },
      ],
      estimate,
    },
    {
      ...QUIET_LOG,
      info: (event, fields) => {
        lines.push([event, fields]);
      },
    },
    10_000,
  );
  expect(lines).toEqual([["pool.backlog", {
    pool: "intake",
    steps: 2,
    lateSteps: 1,
    oldestMs: 10_000,
    waitingCores: 2,
    wantedCores: 2,
    usableWorkers: 2,
    freeCores: 8,
    leftOutWorkers: 2,
    leftOut: "w3: failures, 11500 ms; w4: silent",
  }]]);
});

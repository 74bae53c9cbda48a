import { expect, it } from "vitest";
import {
  newJobStore,
  place,
  spec,
  step,
  submit,
  worker,
} from "../../core/test/scheduling_fixture.ts";
import type { LogFields } from "../src/observe/log.ts";
import { logPoolUsage } from "../src/scheduler/pool_usage_log.ts";
import { QUIET_LOG } from "./scheduler_fixture.ts";

// Guards against VMs that are held by long-running tasks, or about to leave, and pass for busy or idle ones.
it("the log of a pool's usage tells what holds each of its VMs", () => {
  const jobStore = newJobStore([
    worker("busy"),
    worker("lasting"),
    worker("idle"),
    worker("cordoned"),
  ]);
  submit(jobStore, "a", spec(step()));
  submit(jobStore, "b", spec(step({ lasting: true })));
  place(
    jobStore,
    { task: "a.0.0.0", run: 1, worker: "busy" },
    { task: "b.0.0.0", run: 1, worker: "lasting" },
  );
  const lines: [string, LogFields | undefined][] = [];
  logPoolUsage(
    {
      jobStore,
      absences: [],
      isCordoned: ({ id }) => id === "cordoned",
    },
    { ...QUIET_LOG, info: (event, fields) => lines.push([event, fields]) },
  );
  expect(lines).toMatchInlineSnapshot(`
    [
      [
        "pool.usage",
        {
          "absent": 0,
          "busy": 1,
          "busyCores": 4,
          "cordoned": 1,
          "idle": 1,
          "lasting": 1,
          "pool": "intake",
          "reservedCores": 1,
        },
      ],
    ]
  `);
});

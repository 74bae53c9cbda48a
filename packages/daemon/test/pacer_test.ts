import { expect, it } from "vitest";
import type { ListedRun } from "@quetzalcove/core/scheduling";
import {
  listing,
  newJobStore,
  place,
  run,
  spec,
  step,
  submit,
  worker,
} from "../../core/test/scheduling_fixture.ts";
import { Pacer } from "../src/scheduler/pacer.ts";
import {
  consensusOf,
  ignore,
  notExpected,
  QUIET_LOG,
} from "./scheduler_fixture.ts";

const TARGET_MS = 100;

// Guards against best-effort runs that begin throttled by a latency that was measured before they ran.
it("the speed of best-effort runs is not decided before they are listed", () => {
  const jobStore = newJobStore([worker("w1")]);
  const lasting = step({ lasting: true, targetLatencyMs: TARGET_MS });
  submit(jobStore, "serves", spec(lasting));
  submit(jobStore, "fills", spec(step({ fills: true })));
  place(jobStore, run("serves.0.0.0", 1, "w1"), run("fills.0.0.0", 1, "w1"));
  const paces: number[] = [];
  const pacer = new Pacer({
    consensus: consensusOf(jobStore),
    client: {
      start: notExpected,
      stop: notExpected,
      renew: notExpected,
      disconnect: ignore,
      pace: (_, __, percent) => {
        paces.push(percent);
        return Promise.resolve({ answer: true, clockMs: undefined });
      },
    },
    term: 7,
    log: QUIET_LOG,
  });
  const row = (task: string, gauge: number): ListedRun => {
    return { task, run: 1, checkpoint: "", percent: 100, gauge };
  };
  const list = (now: number, ...running: ListedRun[]): void =>
    pacer.update(worker("w1"), listing({ running }), now);
  list(0, row("serves.0.0.0", 5 * TARGET_MS));
  list(100, row("serves.0.0.0", TARGET_MS / 10), row("fills.0.0.0", 1_000));
  expect(paces).toEqual([]);
});

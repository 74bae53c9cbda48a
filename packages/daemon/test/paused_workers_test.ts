import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { JobStore } from "@quetzalcove/core/scheduling";
import {
  newJobStore,
  spec,
  step,
  submit,
} from "../../core/test/scheduling_fixture.ts";
import { LeadershipTerm } from "../src/scheduler/leadership_term.ts";
import { ScriptedPlatform } from "./scripted_platform.ts";
import { consensusOf, termParts } from "./scheduler_fixture.ts";

/** Longest time for which a long-running task may have no run: 3 s, from 6 s after its last one. */
const MAX_WITHOUT_RUN_MS = 9_000;

let jobStore: JobStore;
let platform: ScriptedPlatform;
let term: LeadershipTerm;

async function setUp(
  vms: readonly string[],
  labelsOf: Record<string, string[]> = {},
): Promise<void> {
  jobStore = newJobStore([]);
  platform = new ScriptedPlatform(jobStore, vms, labelsOf);
  term = new LeadershipTerm(
    termParts({
      consensus: consensusOf(jobStore),
      client: platform.workers,
      vmClient: platform.vmClient,
    }),
  );
  await term.start();
  await vi.advanceTimersByTimeAsync(500);
}

/** A long-running task on each VM, and one short job that uses each VM once. */
function submitSpread(taskCount: number): void {
  const spread = step({ taskCount, maxPerWorker: 1, lasting: true });
  submit(jobStore, "lasting", spec(spread));
  submit(jobStore, "other", spec(step({ taskCount, maxPerWorker: 1 })));
}

/** Time until a task runs, in milliseconds; Infinity if over 40 s. */
async function timeUntilRunning(task: string): Promise<number> {
  const since = Date.now();
  while (!platform.isRunning(task)) {
    if (Date.now() - since > 40_000) {
      return Infinity;
    }
    await vi.advanceTimersByTimeAsync(50);
  }
  return Date.now() - since;
}

beforeEach(() => {
  vi.useFakeTimers({ now: 0 });
});

afterEach(async () => {
  await term.stop();
  vi.useRealTimers();
});

describe("a long-running task that only one worker can take", () => {
  // Guards against a task that has no run for 16 s, since its only worker was paused for earlier failures (review/8).
  it("runs again soon when it fails once on a worker that is sound again", async () => {
    await setUp(["vm-1", "vm-2", "vm-3"]);
    platform.setFailing("vm-1", true);
    submitSpread(3);
    await vi.advanceTimersByTimeAsync(6_500);
    platform.setFailing("vm-1", false);
    await vi.advanceTimersByTimeAsync(15_000);
    const task = platform.taskOn("vm-1");
    expect(platform.fail(task)).toBe(true);
    await vi.advanceTimersByTimeAsync(200);
    expect(await timeUntilRunning(task)).toBeLessThan(MAX_WITHOUT_RUN_MS);
  });

  // Guards against a pause that goes on long after the worker is sound again.
  it.each([16, 32, 48])(
    "runs within the bound once a worker is sound that failed all for %i s",
    async (seconds) => {
      await setUp(["vm-1", "vm-2", "vm-3"]);
      platform.setFailing("vm-1", true);
      submitSpread(3);
      await vi.advanceTimersByTimeAsync(1_000 * seconds);
      platform.setFailing("vm-1", false);
      await vi.advanceTimersByTimeAsync(MAX_WITHOUT_RUN_MS);
      expect(platform.atWork.filter((task) => task.startsWith("lasting")))
        .toHaveLength(3);
      // It is tried every 4 s and not in each pass, and each job fails there twice before its first pause has ended.
      const tries = platform.starts.filter(({ worker }) => worker === "vm-1+1");
      expect(tries.length).toBeLessThanOrEqual((seconds + 9) / 4 + 4);
    },
  );

  // Guards against a VM that leaves the pool as idle while it is paused, though a step waits for it.
  it("keeps the VM of that worker in its pool", async () => {
    await setUp(["vm-1", "vm-2", "vm-3"], { "vm-1": ["b", "r1"] });
    const onOthers = { requiredLabel: "a", maxPerWorker: 1, lasting: true };
    submit(jobStore, "others", spec(step({ ...onOthers, taskCount: 2 })));
    platform.setFailing("vm-1", true);
    // VMs leave their pool as idle only once a job has arrived that ends.
    const short = spec(step({ requiredLabel: "a" }));
    submit(jobStore, "short", short);
    term.recordArrival({
      id: "short",
      queue: "reports",
      pool: "intake",
      spec: short,
    });
    submit(jobStore, "j", spec(step({ requiredLabel: "b", lasting: true })));
    submit(jobStore, "k", spec(step({ requiredLabel: "b", lasting: true })));
    await vi.advanceTimersByTimeAsync(20_000);
    expect(platform.poolOf("vm-1")).toBe("intake");
    platform.setFailing("vm-1", false);
    await vi.advanceTimersByTimeAsync(MAX_WITHOUT_RUN_MS);
    expect(platform.atWork).toEqual(
      expect.arrayContaining(["j.0.0.0", "k.0.0.0"]),
    );
  });
});

describe("a pool of which all workers are paused", () => {
  // Guards against steps that are to be spread, and find only the first of the paused workers.
  it("uses all of them", async () => {
    const vms = ["vm-1", "vm-2", "vm-3"];
    await setUp(vms);
    vms.forEach((vm) => platform.setFailing(vm, true));
    // Each worker fails jobs that no other one failed.
    for (const [i, vm] of vms.entries()) {
      for (const id of [`a${i}`, `b${i}`]) {
        submit(jobStore, id, spec(step()));
        jobStore.apply({
          kind: "place",
          runs: [{
            task: `${id}.0.0.0`,
            run: 1,
            worker: platform.workerOn(vm),
          }],
        });
      }
    }
    await term.stop();
    term = new LeadershipTerm(
      termParts({
        consensus: consensusOf(jobStore),
        client: platform.workers,
        term: 8,
      }),
    );
    await term.start();
    await vi.advanceTimersByTimeAsync(400);
    vms.forEach((vm) => platform.setFailing(vm, false));
    const spread = step({ taskCount: 3, maxPerWorker: 1, lasting: true });
    submit(jobStore, "lasting", spec(spread));
    await vi.advanceTimersByTimeAsync(1_000);
    expect(platform.atWork.filter((task) => task.startsWith("lasting")))
      .toHaveLength(3);
  });
});

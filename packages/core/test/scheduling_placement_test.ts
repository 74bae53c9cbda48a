import { describe, expect, it, vi } from "vitest";
import {
  CandidateWorker,
  type JobStore,
  nextSpeedPercent,
  placeStep,
  ProgressWatch,
  type RunKey,
  runPlacementPass,
  sortByUrgency,
  type StepSpec,
  UnplaceableDemands,
  type WaitingStep,
  WorkerHealth,
  WorkEstimate,
} from "@quetzalcove/core/scheduling";
import {
  end,
  newJobStore,
  place,
  run,
  spec,
  step,
  submit,
  worker,
} from "./scheduling_fixture.ts";

function candidates(
  store: JobStore,
  due: readonly string[] = [],
): CandidateWorker[] {
  return [...store.workers.values()].map((each) =>
    new CandidateWorker(each, store.load(each.id), {
      isDueForMaintenance: due.includes(each.id),
    })
  );
}

function placeOnly(
  store: JobStore,
  id: string,
  due: string[] = [],
  wallNow = 1_000,
): RunKey[] {
  const waiting = store.waiting.get(`${id}.0.0`) as WaitingStep;
  return placeStep(waiting, candidates(store, due), wallNow);
}

function workersOf(runs: readonly RunKey[]): string[] {
  return runs.map(({ worker: on }) => on);
}

function placed(of: Partial<StepSpec>, ...workers: string[]): string[] {
  const store = newJobStore(workers.map((id) => worker(id)));
  submit(store, "j", spec(step(of)));
  return workersOf(placeOnly(store, "j"));
}

describe("placing the tasks of a step", () => {
  it("fills one worker before it uses the next", () => {
    expect(placed({ taskCount: 6 }, "w1", "w2")).toEqual(
      ["w1", "w1", "w1", "w1", "w2", "w2"],
    );
  });

  it("places no more tasks than fit", () => {
    expect(placed({ taskCount: 9 }, "w1", "w2")).toHaveLength(8);
  });

  it("respects the limit per worker", () => {
    expect(placed({ taskCount: 5, maxPerWorker: 1 }, "w1", "w2")).toEqual(
      ["w1", "w2"],
    );
  });

  it("counts active runs of the step towards the limit", () => {
    const store = newJobStore([worker("w1"), worker("w2")]);
    submit(store, "j", spec(step({ taskCount: 3, maxPerWorker: 1 })));
    place(store, run("j.0.0.0", 1, "w1"));
    expect(workersOf(placeOnly(store, "j"))).toEqual(["w2"]);
  });

  it("does not retry a task on the worker on which it failed, even if all others are full", () => {
    const store = newJobStore([worker("w1"), worker("w2")]);
    submit(store, "j", spec(step({ taskCount: 8 })));
    const runs = placeOnly(store, "j");
    place(store, ...runs);
    const on = (id: string): RunKey =>
      runs.find(({ worker }) => worker === id) as RunKey;
    end(store, on("w1"), "failed");
    expect(placeOnly(store, "j")).toEqual([]);
    end(store, on("w2"), "done");
    expect(placeOnly(store, "j")).toEqual([
      { task: on("w1").task, run: 2, worker: "w2" },
    ]);
  });

  it("retries a task on the worker on which it failed if the others stay full", () => {
    const store = newJobStore([worker("w1"), worker("w2")]);
    submit(store, "j", spec(step({ taskCount: 8, lasting: true })));
    const runs = placeOnly(store, "j");
    place(store, ...runs);
    const failed = runs.find((each) => each.worker === "w1") as RunKey;
    // The fixture records ends at 1,000 ms.
    end(store, failed, "failed");
    expect(placeOnly(store, "j", [], 2_000)).toEqual([]);
    // The wall clock was set back.
    expect(placeOnly(store, "j", [], 900)).toHaveLength(1);
    expect(placeOnly(store, "j", [], 2_500)).toEqual([
      { task: failed.task, run: 2, worker: "w1" },
    ]);
  });

  it("retries a task on the worker on which it failed if no other could ever run it", () => {
    const store = newJobStore([
      worker("w1"),
      worker("w2", { labels: ["b", "r1"] }),
    ]);
    submit(store, "j", spec(step({ requiredLabel: "a" })));
    place(store, run("j.0.0.0", 1, "w1"));
    end(store, run("j.0.0.0", 1, "w1"), "failed");
    expect(workersOf(placeOnly(store, "j"))).toEqual(["w1"]);
  });

  it("is skipped for a step that needs at least as much as one that could not be placed", () => {
    const store = newJobStore([worker("w1")]);
    const add = (id: string, of: Partial<StepSpec>): WaitingStep => {
      submit(store, id, spec(step(of)));
      return store.waiting.get(`${id}.0.0`) as WaitingStep;
    };
    const demand = (cpuMilli: number): StepSpec["demand"] => ({
      cpuMilli,
      memoryMb: 100,
      gpus: 0,
    });
    const unplaceable = new UnplaceableDemands();
    const failed = add("a", { demand: demand(2_000) });
    expect(unplaceable.covers(failed)).toBe(false);
    unplaceable.record(failed);
    expect(unplaceable.covers(add("b", { demand: demand(3_000) }))).toBe(true);
    expect(unplaceable.covers(add("c", { demand: demand(1_000) }))).toBe(false);
    expect(unplaceable.covers(add("d", { requiredLabel: "b" }))).toBe(false);
  });

  it("is not skipped for steps that lacked more than free resources", () => {
    const store = newJobStore([worker("w1")]);
    submit(store, "a", spec(step({ taskCount: 2, maxPerWorker: 1 })));
    submit(store, "b", spec(step({ taskCount: 2, gang: true })));
    const unplaceable = new UnplaceableDemands();
    for (const waiting of store.waiting.values()) {
      unplaceable.record(waiting);
      expect(unplaceable.covers(waiting)).toBe(false);
    }
  });

  it("requires the step's label", () => {
    const store = newJobStore([
      worker("w1"),
      worker("w2", { labels: ["b", "r2"] }),
    ]);
    submit(store, "j", spec(step({ requiredLabel: "b" })));
    expect(workersOf(placeOnly(store, "j"))).toEqual(["w2"]);
  });

  it("prefers the rack of the data, and uses another when that is full", () => {
    const store = newJobStore([
      worker("w1"),
      worker("w2", { labels: ["a", "r2"] }),
    ]);
    submit(store, "j", spec(step({ taskCount: 6, dataRack: "r2" })));
    expect(workersOf(placeOnly(store, "j"))).toEqual(
      ["w2", "w2", "w2", "w2", "w1", "w1"],
    );
  });

  it("starts a gang as a whole, under one run number above all earlier ones", () => {
    const store = newJobStore([worker("w1"), worker("w2")]);
    submit(store, "j", spec(step({ taskCount: 6, gang: true })));
    place(store, run("j.0.0.0", 3, "w1"));
    expect(placeOnly(store, "j")).toEqual([]);
    end(store, run("j.0.0.0", 3, "w1"), "broken");
    const runs = placeOnly(store, "j");
    expect(runs).toHaveLength(6);
    expect(new Set(runs.map(({ run: number }) => number))).toEqual(
      new Set([4]),
    );
  });

  it("places no task of a gang that does not fit as a whole", () => {
    expect(placed({ taskCount: 9, gang: true }, "w1", "w2")).toEqual([]);
  });

  it("places a gang on one rack if it fits", () => {
    const store = newJobStore([
      worker("w1", { labels: ["a", "r1"] }),
      worker("w2", { labels: ["a", "r2"] }),
      worker("w3", { labels: ["a", "r2"] }),
    ]);
    submit(
      store,
      "j",
      spec(step({ taskCount: 6, gang: true, sameRack: true })),
    );
    expect(new Set(workersOf(placeOnly(store, "j")))).toEqual(
      new Set(["w2", "w3"]),
    );
  });

  it("keeps long-running tasks off workers that are due for maintenance", () => {
    const store = newJobStore([worker("w1"), worker("w2")]);
    submit(store, "j", spec(step({ lasting: true })));
    expect(workersOf(placeOnly(store, "j", ["w1"]))).toEqual(["w2"]);
  });

  it("keeps best-effort tasks away from latency-sensitive ones, unless there is no other worker", () => {
    const store = newJobStore([worker("w1"), worker("w2")]);
    submit(store, "serves", spec(step({ lasting: true, targetLatencyMs: 50 })));
    submit(store, "fills", spec(step({ fills: true, taskCount: 1 })));
    place(store, run("serves.0.0.0", 1, "w1"));
    expect(workersOf(placeOnly(store, "fills"))).toEqual(["w2"]);
    store.apply({ kind: "lose", workers: ["w2"], haveEnded: false, atMs: 0 });
    expect(workersOf(placeOnly(store, "fills"))).toEqual(["w1"]);
  });
});

describe("a queue whose demand exceeds its pool for some seconds", () => {
  /**
   * Runs jobs of one task of 1 s each, which arrive at twice the rate that four slots can process. Returns how many
   * were done, and how many of these within their objective.
   */
  function simulateSlots(
    order: (waiting: WaitingStep[], now: number) => string[],
  ): {
    inTime: number;
    done: number;
  } {
    const store = newJobStore([worker("w1")]);
    const slots: { job: string; endsAt: number }[] = [];
    const objectiveMs = 1.6 * 1_000 + 600;
    let inTime = 0;
    let done = 0;
    for (let now = 0; now < 30_000; now += 25) {
      const isArrival = now < 8_000 && now % 125 === 0;
      if (isArrival) {
        submit(store, `j${now}`, spec(step()), now);
      }
      for (const slot of slots.filter(({ endsAt }) => endsAt <= now)) {
        slots.splice(slots.indexOf(slot), 1);
        end(store, run(`${slot.job}.0.0.0`, 1, "w1"), "done");
        done += 1;
        const acceptedAt = Number(slot.job.slice(1));
        inTime += now - acceptedAt <= objectiveMs ? 1 : 0;
      }
      const next = order([...store.waiting.values()], now);
      for (const job of next.slice(0, 4 - slots.length)) {
        place(store, run(`${job}.0.0.0`, 1, "w1"));
        slots.push({ job, endsAt: now + 1_000 });
      }
    }
    return { inTime, done };
  }

  it("completes more jobs in time, and all in the end, when late jobs wait behind the others", () => {
    const fifo = simulateSlots((waiting) => waiting.map(({ job }) => job.id));
    const estimate = new WorkEstimate();
    const urgent = simulateSlots((waiting, now) =>
      sortByUrgency(waiting, estimate, now).map(({ job }) => job.id)
    );
    expect(fifo.done).toBe(64);
    expect(urgent.done).toBe(64);
    expect(urgent.inTime).toBeGreaterThan(1.5 * fifo.inTime);
  });

  it("orders by queue priority among jobs that can meet their objective", () => {
    const store = newJobStore([worker("w1")]);
    submit(store, "late", spec(step()), 0);
    submit(store, "normal", spec(step()), 10_000);
    submit(store, "first", spec(step()), 10_001);
    const job = store.jobs.get("normal");
    if (job !== undefined) {
      job.terms.priority = 1;
    }
    const order = sortByUrgency(
      store.waiting.values(),
      new WorkEstimate(),
      10_010,
    );
    expect(order.map(({ job: { id } }) => id)).toEqual(
      ["first", "normal", "late"],
    );
  });
});

describe("the work estimate", () => {
  it("follows actual durations, and is robust to a single hung task", () => {
    const estimate = new WorkEstimate();
    for (let i = 0; i < 100; i++) {
      estimate.observe("q", 500, 1_000);
    }
    expect(estimate.taskMs("q", 500)).toBeCloseTo(1_000, -1);
    estimate.observe("q", 500, 600_000);
    expect(estimate.taskMs("q", 500)).toBeLessThan(1_200);
  });

  it("computes the critical path of steps", () => {
    const store = newJobStore([]);
    submit(
      store,
      "j",
      spec(
        step({ estimatedMs: 100 }),
        step({ estimatedMs: 700, dependsOn: [0] }),
        step({ estimatedMs: 300, dependsOn: [0] }),
        step({ estimatedMs: 50, dependsOn: [1, 2] }),
      ),
    );
    const job = store.jobs.get("j");
    const estimate = new WorkEstimate();
    expect(job && estimate.criticalPathMs(job)).toBe(850);
    expect(job && estimate.criticalPathMs(job, 2)).toBe(350);
  });
});

describe("a worker on which runs fail", () => {
  it("is paused after consecutive failures of several jobs", () => {
    const health = new WorkerHealth();
    expect(health.recordEnd("w", "a", "failed", 0)).toBe(false);
    expect(health.recordEnd("w", "a", "failed", 0)).toBe(false);
    expect(health.recordEnd("w", "b", "failed", 0)).toBe(true);
    expect(health.isTrusted("w", 100)).toBe(false);
    expect(health.isTrusted("w", 2_000)).toBe(true);
  });

  it("is paused longer when it fails again, and trusted once a task is done", () => {
    const health = new WorkerHealth();
    health.recordEnd("w", "a", "failed", 0);
    health.recordEnd("w", "b", "failed", 0);
    health.recordEnd("w", "c", "failed", 2_000);
    expect(health.isTrusted("w", 4_500)).toBe(false);
    health.recordEnd("w", "d", "done", 4_600);
    expect(health.isTrusted("w", 4_600)).toBe(true);
  });

  it("is not paused for jobs that fail on other workers as well", () => {
    const health = new WorkerHealth();
    health.recordEnd("w", "a", "failed", 0);
    expect(health.recordEnd("w", "b", "failed", 0)).toBe(true);
    health.recordEnd("v", "a", "failed", 100);
    expect(health.isTrusted("w", 100)).toBe(false);
    health.recordEnd("v", "b", "failed", 100);
    expect(health.isTrusted("w", 100)).toBe(true);
    expect(health.isTrusted("v", 100)).toBe(true);
    health.recordEnd("u", "a", "failed", 200);
    expect(health.recordEnd("u", "b", "failed", 200)).toBe(false);
  });

  it("stays paused for a stall regardless of failures on other workers", () => {
    const health = new WorkerHealth();
    health.recordEnd("w", "a", "failed", 0);
    health.recordEnd("w", "a", "done", 0);
    health.recordStall("w", 0);
    health.recordEnd("v", "a", "failed", 100);
    expect(health.isTrusted("w", 100)).toBe(false);
  });

  // Guards against a worker of long-running tasks that is paused ever longer, since none of them is ever done (review/8).
  it("is trusted once a long-running task is ready there", () => {
    const health = new WorkerHealth();
    health.recordEnd("w", "a", "failed", 0);
    health.recordEnd("w", "b", "failed", 0);
    health.recordEnd("w", "c", "failed", 2_000);
    health.recordSound("w");
    expect(health.isTrusted("w", 2_000)).toBe(true);
    expect(health.recordEnd("w", "d", "failed", 2_100)).toBe(false);
  });

  // Guards against a worker that is paused for one failure because others failed there long ago.
  it("is not paused for failures that lie far apart", () => {
    const health = new WorkerHealth();
    health.recordEnd("w", "a", "failed", 0);
    expect(health.recordEnd("w", "b", "failed", 16_000)).toBe(false);
    expect(health.recordEnd("w", "c", "failed", 16_100)).toBe(true);
    // The pause ends after 18.1 s.
    expect(health.recordEnd("w", "d", "failed", 34_100)).toBe(false);
  });

  // Guards against a step that waits for longer than a long-running task may have no run: 9 s.
  it("may be tried again after 4 s at most, however long its pause is", () => {
    const health = new WorkerHealth();
    health.recordEnd("w", "a", "failed", 0);
    const pauses = [0, 2_000, 6_000, 14_000, 30_000].map((now) => {
      health.recordEnd("w", `b${now}`, "failed", now);
      const { until, retryAt } = health.pauseOf("w", now)!;
      return [until - now, retryAt - now];
    });
    expect(pauses).toEqual([
      [2_000, 2_000],
      [4_000, 4_000],
      [8_000, 4_000],
      [16_000, 4_000],
      [16_000, 4_000],
    ]);
  });

  it("is not paused for runs that were stopped or whose lease expired", () => {
    const health = new WorkerHealth();
    for (const how of ["stopped", "lapsed", "broken", "alone"] as const) {
      health.recordEnd("w", how, how, 0);
    }
    expect(health.isTrusted("w", 0)).toBe(true);
  });
});

describe("the progress watch", () => {
  const expectation = { expectedMs: 1_000, resumes: false };
  const row = (percent: number, number = 1): {
    task: string;
    run: number;
    checkpoint: string;
    percent: number;
    gauge: number;
  } => ({ task: "t", run: number, checkpoint: "", percent, gauge: 0 });

  it("detects a stalled run", () => {
    const watch = new ProgressWatch();
    watch.observe([row(10)], () => expectation, 0);
    expect(watch.observe([row(10)], () => expectation, 700).stalled).toEqual(
      [],
    );
    expect(watch.observe([row(10)], () => expectation, 701).stalled)
      .toHaveLength(
        1,
      );
  });

  it("allows a resuming run time to restore its checkpoint", () => {
    const watch = new ProgressWatch();
    const resuming = { expectedMs: 1_000, resumes: true };
    watch.observe([row(0)], () => resuming, 0);
    expect(watch.observe([row(0)], () => resuming, 1_900).stalled).toEqual([]);
  });

  it("starts over with a new run of the task", () => {
    const watch = new ProgressWatch();
    watch.observe([row(10)], () => expectation, 0);
    expect(watch.observe([row(0, 2)], () => expectation, 5_000).stalled)
      .toEqual(
        [],
      );
  });

  it("detects a slow run, unless it is nearly done", () => {
    const watch = new ProgressWatch();
    watch.observe([row(0)], () => expectation, 0);
    watch.observe([row(5)], () => expectation, 600);
    expect(watch.observe([row(11)], () => expectation, 1_100).slow)
      .toHaveLength(1);
    const other = new ProgressWatch();
    other.observe([row(45)], () => expectation, 0);
    other.observe([row(48)], () => expectation, 600);
    expect(other.observe([row(52)], () => expectation, 1_100).slow)
      .toEqual([]);
  });

  it("ignores runs without an expected duration", () => {
    const watch = new ProgressWatch();
    watch.observe([row(100)], () => undefined, 0);
    expect(watch.observe([row(100)], () => undefined, 60_000).stalled).toEqual(
      [],
    );
  });
});

describe("the speed of best-effort tasks", () => {
  it("is 0 while a tail latency exceeds its target", () => {
    expect(nextSpeedPercent(80, [{ tailMs: 51, targetMs: 50 }])).toBe(0);
  });

  it("keeps a tail latency below its target, and makes use of the margin", () => {
    // The tail latency grows with the speed: 30 ms alone, 70 ms beside best-effort work at full speed.
    let percent = 100;
    let over = 0;
    let work = 0;
    for (let i = 0; i < 200; i++) {
      const tailMs = 30 + 0.4 * percent;
      over += tailMs > 50 ? 1 : 0;
      work += percent;
      percent = nextSpeedPercent(percent, [{ tailMs, targetMs: 50 }]);
    }
    expect(over).toBeLessThanOrEqual(1);
    expect(work / 200).toBeGreaterThan(10);
  });

  it("rises to 100 % without latency-sensitive tasks", () => {
    let percent = 0;
    for (let i = 0; i < 10; i++) {
      percent = nextSpeedPercent(percent, []);
    }
    expect(percent).toBe(100);
  });
});

// Guards against passes that keep the leader from its heartbeats because a job has very many steps.
it("ranks the steps of one job with one look at each", () => {
  const STEPS = 500;
  const store = newJobStore([]);
  submit(store, "j", spec(...Array.from({ length: STEPS }, () => step())));
  const estimate = new WorkEstimate();
  const lookUps = vi.spyOn(estimate, "taskMs");
  expect(sortByUrgency(store.waiting.values(), estimate, 0)).toHaveLength(
    STEPS,
  );
  expect(lookUps.mock.calls.length).toBeLessThanOrEqual(2 * STEPS);
});

// Guards against one command that grows with a job: tasks without a demand all fit on one worker.
it("a pass places a limited number of runs, and a gang whole", () => {
  const store = newJobStore([worker("w1")]);
  const demand = { cpuMilli: 0, memoryMb: 0, gpus: 0 };
  submit(store, "a", spec(step({ gang: true, taskCount: 30, demand })));
  submit(store, "b", spec(step({ taskCount: 5_000_000_000, demand })));
  const { placements } = runPlacementPass({
    waiting: store.waiting.values(),
    estimate: new WorkEstimate(),
    candidates: new Map([["intake", candidates(store)]]),
    isPermitted: () => true,
    maxRuns: 40,
  }, 0);
  expect(placements.map(({ step: { name }, runs }) => [name, runs.length]))
    .toEqual([["a.0.0", 30], ["b.0.0", 10]]);
});

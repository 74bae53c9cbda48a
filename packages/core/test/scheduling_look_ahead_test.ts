import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  BlockedDemands,
  CandidateWorker,
  countWaiting,
  expectedEnd,
  type JobStore,
  LookAhead,
  maxRackWaitMs,
  type PlacementPass,
  planReservations,
  RESERVATION_LIMITS,
  type ReservationInput,
  type Resources,
  type RunKey,
  runPlacementPass,
  type RunRecord,
  RunStarts,
  sortByUrgency,
  type StepSpec,
  TaskDurations,
  type TimedRun,
  timedStepOf,
  type WaitingStep,
  WaitTimes,
  type WorkerReservation,
  WorkerTimeline,
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

function cores(count: number): Resources {
  return { cpuMilli: 1_000 * count, memoryMb: 100 * count, gpus: 0 };
}

function candidatesOf(store: JobStore): CandidateWorker[] {
  return [...store.workers.values()].map((each) =>
    new CandidateWorker(each, store.load(each.id))
  );
}

function submitStep(
  store: JobStore,
  id: string,
  of: Partial<StepSpec>,
  atMs = 0,
): WaitingStep {
  submit(store, id, spec(step(of)), atMs);
  return store.waiting.get(`${id}.0.0`) as WaitingStep;
}

function timedRuns(
  store: JobStore,
  starts: RunStarts,
): (id: string) => TimedRun[] {
  return (id) =>
    starts.of(
      store.load(id).runs.values(),
      (each) => timedStepOf(store, each),
    );
}

/** One pass with look-ahead at a time, which is also that on the wall clock. */
function lookAheadPass(
  store: JobStore,
  lookAhead: LookAhead,
  now: number,
): PlacementPass {
  return runPlacementPass({
    waiting: store.waiting.values(),
    estimate: new WorkEstimate(),
    candidates: new Map([["intake", candidatesOf(store)]]),
    isPermitted: () => true,
    lookAhead: (input) => lookAhead.begin(input, now),
  }, now);
}

function newLookAhead(store: JobStore, starts = new RunStarts(0)): LookAhead {
  return new LookAhead({
    estimate: new WorkEstimate(),
    remoteFactor: 2,
    runsOn: timedRuns(store, starts),
    // The pools of these tests are so small that any waiting step is a large backlog.
    limits: { ...RESERVATION_LIMITS, maxBacklogMs: Infinity },
  });
}

function workersByJob({ placements }: PlacementPass): Record<string, string[]> {
  return Object.fromEntries(
    placements.map(({ step: { job }, runs }) => [
      job.id,
      runs.map((each) => each.worker),
    ]),
  );
}

describe("the expected end of a run", () => {
  it("is its start and expected duration, and moves on while the run overruns", () => {
    const at = (now: number): number => expectedEnd(1_000, 400, now);
    expect([1_000, 1_399, 1_400, 2_000, 4_000].map(at)).toEqual(
      [1_400, 1_400, 1_600, 2_500, 5_500],
    );
  });

  it("is never in the past, so that an overrunning run frees nothing that is still in use", () => {
    fc.assert(
      fc.property(
        fc.nat(10_000),
        fc.integer({ min: 1, max: 28_000 }),
        fc.nat(100_000),
        (startedAt, expectedMs, later) => {
          const now = startedAt + later;
          expect(expectedEnd(startedAt, expectedMs, now)).toBeGreaterThan(now);
        },
      ),
    );
  });

  it("counts from the start of the term for runs of an earlier leader", () => {
    const starts = new RunStarts(500);
    const own = {} as RunRecord;
    const timed = { job: { queue: "q" }, spec: step() };
    starts.record(own, timed, 900);
    const runs = starts.of([own, {} as RunRecord], () => timed);
    expect(runs.map(({ startedAt }) => startedAt)).toEqual([900, 500]);
    expect(starts.of([{} as RunRecord], () => undefined)).toEqual([]);
  });

  it("is later for a task away from the rack of its data, and never for a long-running one", () => {
    const durations = new TaskDurations(new WorkEstimate(), 2);
    const timed = (of: Partial<StepSpec>) => ({
      job: { queue: "q" },
      spec: step(of),
    });
    const far = timed({ estimatedMs: 300, dataRack: "r2" });
    expect(durations.expectedMs(far, ["a", "r1"])).toBeCloseTo(600);
    expect(durations.expectedMs(far, ["a", "r2"])).toBeCloseTo(300);
    expect(durations.expectedMs(timed({ lasting: true }), [])).toBe(Infinity);
  });
});

describe("the timeline of a worker", () => {
  const ends = [
    { at: 300, demand: cores(2) },
    { at: 100, demand: cores(1) },
    { at: Infinity, demand: cores(8) },
  ];

  it("tells when a demand fits, without the resources of long-running tasks", () => {
    const timeline = new WorkerTimeline(cores(1), ends, 0);
    expect([1, 2, 3, 4, 5].map((count) => timeline.earliestFit(cores(count))))
      .toEqual([0, 100, 300, 300, Infinity]);
  });

  it("sets claimed resources aside and adds runs", () => {
    const timeline = new WorkerTimeline(cores(1), ends, 0);
    timeline.claim(cores(2));
    expect(timeline.earliestFit(cores(1))).toBe(300);
    timeline.addRun({ at: 200, demand: cores(1) });
    expect(timeline.freeAt(300)).toEqual(cores(2));
  });
});

describe("a plan of reservations", () => {
  /** Four workers of four cores, with a run of four cores that ends at 1,000, 2,000, 3,000 and 4,000 ms. */
  function fullPool(): JobStore {
    const ids = ["w1", "w2", "w3", "w4"];
    const store = newJobStore(
      ids.map((id, index) =>
        worker(id, { labels: ["a", index < 2 ? "r1" : "r2"] })
      ),
    );
    ids.forEach((id, index) => {
      submitStep(store, `busy${id}`, {
        demand: cores(4),
        estimatedMs: 1_000 * (index + 1),
      });
      place(store, run(`busy${id}.0.0.0`, 1, id));
    });
    return store;
  }

  function plan(
    store: JobStore,
    changes: Partial<ReservationInput> = {},
    now = 0,
  ): WorkerReservation[] {
    const workers = candidatesOf(store);
    const durations = new TaskDurations(new WorkEstimate(), 2);
    const runsOn = timedRuns(store, new RunStarts(0));
    const timelines = new Map(workers.map((each) => {
      const ends = runsOn(each.worker.id).map((timed) => ({
        at: expectedEnd(
          timed.startedAt,
          durations.nearMs(timed.step),
          now,
        ),
        demand: timed.step.spec.demand,
      }));
      return [each, new WorkerTimeline(each.free, ends, now)];
    }));
    return planReservations({
      waiting: [...store.waiting.values()],
      candidates: () => workers,
      workers,
      timeline: (each) => timelines.get(each) as WorkerTimeline,
      waitedMs: () => 0,
      slackMs: () => 10_000,
      isBacklogged: false,
      earlier: [],
      limits: { ...RESERVATION_LIMITS, maxWorkerShare: 1 },
      ...changes,
    }, now);
  }

  it("gives each large step the worker where it can start earliest, in the order of urgency", () => {
    const store = fullPool();
    submitStep(store, "first", { demand: cores(3) });
    submitStep(store, "second", { demand: cores(4) });
    submitStep(store, "small", { demand: { ...cores(1), cpuMilli: 900 } });
    expect(plan(store)).toMatchInlineSnapshot(`
      [
        {
          "demand": {
            "cpuMilli": 3000,
            "gpus": 0,
            "memoryMb": 300,
          },
          "isHeld": false,
          "isStrict": false,
          "since": 0,
          "startsAt": 1000,
          "step": "first.0.0",
          "worker": "w1",
        },
        {
          "demand": {
            "cpuMilli": 4000,
            "gpus": 0,
            "memoryMb": 400,
          },
          "isHeld": false,
          "isStrict": false,
          "since": 0,
          "startsAt": 2000,
          "step": "second.0.0",
          "worker": "w2",
        },
      ]
    `);
  });

  it("reserves for a gang the workers of the rack where all can start together", () => {
    const store = fullPool();
    submitStep(store, "gang", {
      demand: cores(4),
      taskCount: 2,
      gang: true,
      sameRack: true,
    });
    expect(
      plan(store).map(({ worker: on, startsAt }) => [on, Math.round(startsAt)]),
    ).toEqual([["w1", 2_000], ["w2", 2_000]]);
  });

  it("is bounded in steps, workers and backlog", () => {
    const store = fullPool();
    for (let index = 0; index < 10; index++) {
      submitStep(store, `large${index}`, { demand: cores(4) });
    }
    const limited = (limits: Partial<typeof RESERVATION_LIMITS>): number =>
      plan(store, { limits: { ...RESERVATION_LIMITS, ...limits } }).length;
    expect(limited({ maxSteps: 2, maxWorkerShare: 1 })).toBe(2);
    expect(limited({ maxSteps: 9, maxWorkerShare: 0.75 })).toBe(3);
    expect(limited({ maxSteps: 9, maxWorkerShare: 0 })).toBe(1);
    expect(plan(store, { isBacklogged: true })).toEqual([]);
  });

  it("reserves nothing for a start that is too late for the objective", () => {
    const store = fullPool();
    submitStep(store, "large", { demand: cores(4) });
    expect(plan(store, { slackMs: () => 900 })).toEqual([]);
    expect(plan(store, { slackMs: () => 1_100 })).toHaveLength(1);
  });

  it("lets the next step hold a worker if the oldest can never start", () => {
    const store = fullPool();
    submitStep(store, "gang", { demand: cores(4), taskCount: 5, gang: true });
    submitStep(store, "large", { demand: cores(4) });
    expect(plan(store, { waitedMs: () => 10_000 })).toMatchObject([
      { step: "large.0.0", worker: "w1", isHeld: true },
    ]);
  });

  it("moves to another worker once its lifetime is over, but a hold stays", () => {
    const store = fullPool();
    submitStep(store, "large", { demand: cores(4) });
    const earlier = plan(store);
    const later = RESERVATION_LIMITS.lifetimeMs;
    expect(plan(store, { earlier }, later).map((each) => each.worker)).toEqual(
      ["w2"],
    );
    const waitedMs = (): number => RESERVATION_LIMITS.holdAfterMs;
    const [held] = plan(store, { earlier, waitedMs });
    expect(held).toMatchObject({
      worker: "w1",
      isHeld: true,
      isStrict: false,
      since: 0,
    });
    const [kept] = plan(store, {
      earlier: held === undefined ? [] : [held],
      waitedMs,
    }, later);
    expect(kept).toMatchObject({
      worker: "w1",
      isHeld: true,
      isStrict: true,
      since: 0,
    });
  });
});

describe("a pass with look-ahead", () => {
  it("keeps a worker for a large step, and lets steps use it that end before", () => {
    const store = newJobStore([worker("w1")]);
    submitStep(store, "busy", { demand: cores(2), estimatedMs: 1_000 });
    place(store, run("busy.0.0.0", 1, "w1"));
    submitStep(store, "large", { demand: cores(4), estimatedMs: 700 });
    submitStep(store, "short", { demand: cores(1), estimatedMs: 900 }, 1);
    submitStep(store, "long", { demand: cores(1), estimatedMs: 1_200 }, 2);
    const lookAhead = newLookAhead(store);
    expect(workersByJob(lookAheadPass(store, lookAhead, 0))).toEqual({
      short: ["w1"],
    });
    expect(lookAhead.reservations.get("intake")).toMatchObject([
      { step: "large.0.0", worker: "w1", isHeld: false },
    ]);
  });

  it("gives a worker to a large step that has waited too long, whatever was expected", () => {
    const store = newJobStore([worker("w1")]);
    submitStep(store, "busy", { demand: cores(2), estimatedMs: 100 });
    place(store, run("busy.0.0.0", 1, "w1"));
    submitStep(store, "large", { demand: cores(4), estimatedMs: 500 });
    const lookAhead = newLookAhead(store);
    lookAheadPass(store, lookAhead, 0);
    const short = { demand: cores(1), estimatedMs: 1 };
    // From 3,000 ms on the step holds the worker, at first by the expected end of the overrunning run.
    expect(workersByJob(lookAheadPass(store, lookAhead, 3_000))).toEqual({});
    submitStep(store, "early", short, 3_100);
    submitStep(store, "long", { ...short, estimatedMs: 5_000 }, 3_100);
    expect(workersByJob(lookAheadPass(store, lookAhead, 3_100))).toEqual({
      early: ["w1"],
    });
    place(store, run("early.0.0.0", 1, "w1"));
    end(store, run("early.0.0.0", 1, "w1"), "done");
    submitStep(store, "short", short, 4_000);
    expect(workersByJob(lookAheadPass(store, lookAhead, 4_000))).toEqual({});
    end(store, run("busy.0.0.0", 1, "w1"), "done");
    expect(workersByJob(lookAheadPass(store, lookAhead, 4_020))).toEqual({
      large: ["w1"],
    });
  });

  it("waits for the rack of the data only if that is expected to pay off", () => {
    const place4 = (estimatedMs: number): Record<string, string[]> => {
      const store = newJobStore([
        worker("w1"),
        worker("w2", { labels: ["a", "r2"] }),
      ]);
      submitStep(store, "busy", { demand: cores(4), estimatedMs: 400 });
      place(store, run("busy.0.0.0", 1, "w2"));
      submitStep(store, "near", {
        demand: cores(2),
        estimatedMs,
        dataRack: "r2",
        taskCount: 3,
      });
      return workersByJob(lookAheadPass(store, newLookAhead(store), 0));
    };
    // Two tasks can follow the run on the rack; the third finds no room there.
    expect(place4(1_000)).toEqual({ near: ["w1"] });
    expect(place4(450)).toEqual({ near: ["w1", "w1"] });
  });

  it("stops waiting for the rack when its bound is over", () => {
    const store = newJobStore([
      worker("w1"),
      worker("w2", { labels: ["a", "r2"] }),
    ]);
    submitStep(store, "busy", { demand: cores(4), estimatedMs: 400 });
    place(store, run("busy.0.0.0", 1, "w2"));
    submitStep(store, "near", {
      demand: cores(1),
      estimatedMs: 4_000,
      dataRack: "r2",
    });
    const lookAhead = newLookAhead(store);
    const placedAt = [0, 500, 1_000, 1_500].find((now) =>
      lookAheadPass(store, lookAhead, now).placements.length > 0
    );
    // The overrunning run is expected to end at 1,500 ms when it is at 1,000 ms, which is the bound.
    expect(placedAt).toBe(1_000);
  });
});

describe("the wait for a rack", () => {
  it("gives each waiting task an end of its own", () => {
    const timeline = (): WorkerTimeline =>
      new WorkerTimeline(cores(0), [
        { at: 100, demand: cores(1) },
        { at: 700, demand: cores(1) },
        { at: 900, demand: cores(1) },
      ], 0);
    const waiting = { spec: step({ demand: cores(1) }) };
    const count = (remoteCostMs: number, waitedMs = 0): number =>
      countWaiting(waiting, {
        tasks: 5,
        maxWaitMs: maxRackWaitMs(remoteCostMs, waitedMs),
        timelines: [timeline()],
      }, 0);
    expect([100, 500, 1_000, 5_000].map((cost) => count(cost))).toEqual(
      [0, 1, 2, 3],
    );
    expect(count(5_000, 1_450)).toBe(0);
  });
});

describe("blocked demands", () => {
  it("cover steps that need no less, and for no less time where a reservation was the cause", () => {
    const store = newJobStore([]);
    const blocked = new BlockedDemands(
      ({ spec: { estimatedMs: ms } }) => ({ shortestMs: ms, longestMs: ms }),
      () => [450, 900],
    );
    const of = (id: string, count: number, estimatedMs: number): WaitingStep =>
      submitStep(store, id, { demand: cores(count), estimatedMs });
    blocked.record(of("a", 2, 500), true);
    blocked.record(of("b", 4, 500), false);
    const steps = [of("c", 2, 600), of("d", 2, 400), of("e", 4, 1)];
    expect(steps.map((each) => blocked.covers(each))).toEqual(
      [true, false, true],
    );
  });
});

describe("the times for which steps wait", () => {
  it("start anew when a task of the step has got a run", () => {
    const store = newJobStore([]);
    const waiting = submitStep(store, "j", { taskCount: 3 });
    const waits = new WaitTimes();
    waits.record(waiting, 0);
    waits.record(waiting, 500);
    expect(waits.waitedMs(waiting, 600)).toBe(600);
    waits.record({ ...waiting, indices: new Set([1, 2]) }, 700);
    expect(waits.waitedMs(waiting, 900)).toBe(200);
    waits.prune(1_000);
    expect(waits.waitedMs(waiting, 1_000)).toBe(0);
  });
});

/** Steps of random demands, guesses, labels and racks on partly filled workers. */
const randomStore = (isPlain: boolean): fc.Arbitrary<JobStore> => {
  const stepOf = fc.record({
    taskCount: fc.integer({ min: 1, max: 6 }),
    cpu: fc.integer({ min: 1, max: isPlain ? 3 : 20 }),
    memoryMb: fc.integer({ min: 0, max: 400 }),
    estimatedMs: fc.integer({ min: 0, max: 4_000 }),
    dataRack: fc.constantFrom("", isPlain ? "" : "r1", isPlain ? "" : "r2"),
    requiredLabel: fc.constantFrom("", "a"),
    lasting: fc.boolean(),
    at: fc.nat(3_000),
  });
  return fc.record({
    sizes: fc.array(fc.constantFrom(16, 32), { minLength: 1, maxLength: 24 }),
    running: fc.array(stepOf, { maxLength: 60 }),
    waiting: fc.array(stepOf, { minLength: 1, maxLength: 60 }),
  }).map(({ sizes, running, waiting }) => {
    const store = newJobStore(sizes.map((size, index) =>
      worker(`w${index}`, {
        capacity: { cpuMilli: 1_000 * size, memoryMb: 4_000, gpus: 0 },
        labels: [index % 2 === 0 ? "a" : "b", `r${index % 3}`],
      })
    ));
    [...running, ...waiting].forEach((
      { cpu, memoryMb, at, ...rest },
      index,
    ) => {
      const id = `j${index}`;
      const demand = { cpuMilli: 1_000 * cpu, memoryMb, gpus: 0 };
      const own = submitStep(store, id, { ...rest, demand }, at);
      if (index < running.length) {
        const fitting = candidatesOf(store).find((each) => each.accepts(own));
        if (fitting !== undefined) {
          place(store, run(`${id}.0.0.0`, 1, fitting.worker.id));
        }
      }
    });
    return store;
  });
};

function passWithout(store: JobStore, now: number): RunKey[] {
  return runPlacementPass({
    waiting: store.waiting.values(),
    estimate: new WorkEstimate(),
    candidates: new Map([["intake", candidatesOf(store)]]),
    isPermitted: () => true,
  }, now).placements.flatMap(({ runs }) => runs);
}

describe("a pass without look-ahead", () => {
  /** Best fit as before look-ahead, without any pruning. */
  function bestFit(store: JobStore, now: number): RunKey[] {
    const workers = [...store.workers.values()].map((each) => {
      const { reserved } = store.load(each.id);
      return {
        each,
        cpu: each.capacity.cpuMilli - reserved.cpuMilli,
        memory: each.capacity.memoryMb - reserved.memoryMb,
      };
    });
    const runs: RunKey[] = [];
    const steps = sortByUrgency(
      store.waiting.values(),
      new WorkEstimate(),
      now,
    );
    for (const { spec: own, indices, name } of steps) {
      for (const index of indices) {
        const [best] = workers
          .filter(({ each, cpu, memory }) =>
            cpu >= own.demand.cpuMilli && memory >= own.demand.memoryMb &&
            (own.requiredLabel === "" ||
              each.labels.includes(own.requiredLabel))
          )
          .map((candidate) => ({
            candidate,
            isFar: own.dataRack !== "" &&
              !candidate.each.labels.includes(own.dataRack),
          }))
          .sort((a, b) =>
            Number(a.isFar) - Number(b.isFar) ||
            a.candidate.cpu - b.candidate.cpu
          );
        if (best === undefined) {
          break;
        }
        best.candidate.cpu -= own.demand.cpuMilli;
        best.candidate.memory -= own.demand.memoryMb;
        runs.push(run(`${name}.${index}`, 1, best.candidate.each.id));
      }
    }
    return runs;
  }

  it("places as best fit did", () => {
    fc.assert(
      fc.property(randomStore(false), fc.nat(5_000), (store, now) => {
        expect(passWithout(store, now)).toEqual(bestFit(store, now));
      }),
      { numRuns: 300 },
    );
  });
});

describe("a pass with look-ahead and only small steps", () => {
  it("places as the pass without it", () => {
    fc.assert(
      fc.property(randomStore(true), fc.nat(5_000), (store, now) => {
        const { placements } = lookAheadPass(store, newLookAhead(store), now);
        expect(placements.flatMap(({ runs }) => runs)).toEqual(
          passWithout(store, now),
        );
      }),
      { numRuns: 300 },
    );
  });
});

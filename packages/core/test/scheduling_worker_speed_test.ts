import fc from "fast-check";
import { describe, expect, it, vi } from "vitest";
import {
  CandidateWorker,
  runPlacementPass,
  type Slowness,
  type StepPlacement,
  WorkerSpeed,
  WorkEstimate,
} from "@quetzalcove/core/scheduling";
import { simulate, type SimulationConfig } from "./scheduling_simulation.ts";
import {
  newJobStore,
  place,
  run,
  spec,
  step,
  submit,
  worker,
} from "./scheduling_fixture.ts";

const EXPECTED_MS = 600;

/** Records ended runs of a worker, each of another job, one per 100 ms from `from` on. */
function record(
  speed: WorkerSpeed,
  on: string,
  ratios: readonly number[],
  from = 0,
): (string | undefined)[] {
  return ratios.map((ratio, i) =>
    speed.record({
      worker: on,
      pool: "intake",
      task: `${on}-${from}-${i}.0.0.0`,
      run: 1,
      job: `${on}-${from}-${i}`,
      expectedMs: EXPECTED_MS,
      tookMs: ratio * EXPECTED_MS,
    }, from + 100 * i)
  );
}

/** Speeds of a pool in which some other workers run as expected. */
function ordinaryPool(): WorkerSpeed {
  const speed = new WorkerSpeed();
  for (const on of ["a", "b", "c"]) {
    record(speed, on, [0.8, 1, 1.3, 0.9, 1.1]);
  }
  return speed;
}

describe("a run that ends as expected", () => {
  // Guards against a leader that sorts the runs of a pool anew with each of some hundred ends a second.
  it("is recorded without sorting the runs of its pool", () => {
    const speed = ordinaryPool();
    const sorts = vi.spyOn(Array.prototype, "toSorted");
    record(speed, "a", [0.9, 1.1], 10_000);
    expect(sorts).not.toHaveBeenCalled();
    sorts.mockRestore();
  });
});

describe("the expectations of a pool", () => {
  it("count as off by the median of its latest 63 runs", () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: 8 }), {
          minLength: 70,
          maxLength: 140,
        }),
        (ratios) => {
          const speed = new WorkerSpeed();
          ratios.forEach((ratio, i) =>
            record(speed, `w${i}`, [ratio], 1_000 * i)
          );
          const slow = [16, 16, 16];
          record(speed, "s", slow, 1_000 * ratios.length);
          const latest = [...ratios, ...slow].slice(-63).sort((a, b) => a - b);
          const factor = 16 / (latest[31] ?? 0);
          expect(speed.factor("s")).toBe(factor >= 2.2 ? factor : 1);
        },
      ),
      { numRuns: 50 },
    );
  });
});

describe("a worker", () => {
  // Guards against deployments that leave `workers.avoidSlow` off and are placed differently all the same.
  it("is never slow if slow workers are not avoided", () => {
    const speed = new WorkerSpeed(false);
    const changes = ["a", "b", "c"].flatMap((on) => record(speed, on, [1, 1]));
    changes.push(...record(speed, "w1", [6, 6, 6, 6, 6, 6]));
    expect(changes.filter((change) => change !== undefined)).toEqual([]);
    expect(speed.slownessOf("w1", 600)).toBeUndefined();
    expect(speed.factor("w1")).toBe(1);
  });

  // Guards against a healthy worker that gets no work since one job took far longer than it was guessed to.
  it("is not slow because of a single long job, however many tasks it has", () => {
    const speed = ordinaryPool();
    record(speed, "w1", [1, 7, 0.9, 1.1, 7]);
    for (let i = 0; i < 9; i++) {
      speed.record({
        worker: "w2",
        pool: "intake",
        task: `long.0.0.${i}`,
        run: 1,
        job: "long",
        expectedMs: EXPECTED_MS,
        tookMs: 7 * EXPECTED_MS,
      }, 100 * i);
    }
    record(speed, "w2", [1]);
    expect([speed.factor("w1"), speed.factor("w2")]).toEqual([1, 1]);
  });

  it("is slow once several runs of several jobs took far longer, and not before", () => {
    const speed = ordinaryPool();
    expect(record(speed, "w1", [8, 8, 8, 8])).toEqual(
      [undefined, undefined, "slowed", undefined],
    );
    expect(speed.factor("w1")).toBeGreaterThan(6);
    expect(speed.slownessOf("w1", 400)).toMatchObject({ isProbed: false });
  });

  it("is fast again once its runs are, whose earlier records are replaced", () => {
    const speed = ordinaryPool();
    record(speed, "w1", [8, 8, 8]);
    expect(record(speed, "w1", [1, 1, 1, 1], 400)).toContain("recovered");
    expect(speed.factor("w1")).toBe(1);
  });

  // Guards against a worker that gets no work for ever, so that it can never show that it is fast again.
  it("is probed once the estimate has expired, and one run decides", () => {
    const speed = ordinaryPool();
    record(speed, "w1", [8, 8, 8]);
    expect(speed.slownessOf("w1", 20_000)?.isProbed).toBe(true);
    record(speed, "w1", [7], 20_000);
    expect(speed.slownessOf("w1", 20_100)?.isProbed).toBe(true);
    expect(record(speed, "w1", [1.1], 21_000)).toEqual(["recovered"]);
    expect(speed.slownessOf("w1", 21_000)).toBeUndefined();
  });

  it("is not slow where all runs of its pool take longer than expected", () => {
    const speed = new WorkerSpeed();
    for (const on of ["a", "b", "c", "d"]) {
      record(speed, on, [0.9, 1, 1.1]);
    }
    for (const on of ["a", "b", "c", "d"]) {
      record(speed, on, Array(18).fill(5), 1_000);
    }
    expect(["a", "b", "c", "d"].map((on) => speed.factor(on)))
      .toEqual([1, 1, 1, 1]);
  });

  it("counts a run in progress once, also when it ends", () => {
    const speed = ordinaryPool();
    const observed = {
      worker: "w1",
      pool: "intake",
      run: 1,
      expectedMs: EXPECTED_MS,
      tookMs: 8 * EXPECTED_MS,
    };
    for (let i = 0; i < 10; i++) {
      const job = `j${i % 2}`;
      speed.record({ ...observed, task: `${job}.0.0.0`, job }, 10 * i);
    }
    expect(speed.factor("w1")).toBe(1);
  });
});

/** Places a step of one task on two workers with room; w2 has more runs and is slow. */
function placedOn(
  slackMs: number,
  slowness: Slowness | undefined,
  { isFastFull = false, runsOnSlow = 1, taskCount = 1 } = {},
): string[] {
  const jobStore = newJobStore([worker("w1"), worker("w2")]);
  submit(jobStore, "held", spec(step({ taskCount: 8 })));
  const onSlow = Array.from(
    { length: runsOnSlow },
    (_, i) => run(`held.0.0.${i}`, 1, "w2"),
  );
  const onFast = isFastFull
    ? [4, 5, 6, 7].map((index) => run(`held.0.0.${index}`, 1, "w1"))
    : [];
  place(jobStore, ...onSlow, ...onFast);
  submit(jobStore, "j", spec(step({ taskCount })));
  const candidates = [
    new CandidateWorker(worker("w1"), jobStore.load("w1")),
    new CandidateWorker(worker("w2"), jobStore.load("w2"), { slowness }),
  ];
  const waiting = jobStore.waiting.get("j.0.0")!;
  // Objective of the fixture's queue: 1.6 times 1 s, and 600 ms, after the acceptance at 0.
  const wallNow = 1_600 + 600 - 1_000 - slackMs;
  const { placements } = runPlacementPass({
    waiting: [waiting],
    estimate: new WorkEstimate(),
    candidates: new Map([["intake", candidates]]),
    isPermitted: () => true,
  }, wallNow);
  return placements.flatMap(({ runs }) => runs.map((placed) => placed.worker));
}

describe("a step that waits", () => {
  const slow = (factor: number, isProbed = false): Slowness => ({
    factor,
    isProbed,
  });

  it("is packed on the fullest worker if none is slow", () => {
    expect(placedOn(500, undefined)).toEqual(["w2"]);
  });

  it("prefers a worker that is not slow", () => {
    expect(placedOn(500, slow(3))).toEqual(["w1"]);
    expect(placedOn(5_000, slow(3))).toEqual(["w1"]);
  });

  // Guards against a job that would be in time and becomes late on a slow worker.
  it("uses a slow worker only if it still meets its objective there", () => {
    const isFastFull = true;
    const found = [500, 1_900, 2_100, -500].map((slackMs) =>
      placedOn(slackMs, slow(3), { isFastFull })
    );
    expect(found).toEqual([[], [], ["w2"], ["w2"]]);
  });

  it("uses a worker that is probed one task at a time", () => {
    const probed = slow(8, true);
    const isFastFull = true;
    expect(placedOn(100, probed, { isFastFull, runsOnSlow: 0, taskCount: 2 }))
      .toEqual(["w2"]);
    expect(placedOn(100, probed, { isFastFull })).toEqual([]);
  });
});

describe("placement where no worker is slow", () => {
  /** Placements of random steps on random workers, of which the noisy durations of earlier runs are known or not. */
  function placements(
    loads: readonly number[],
    demands: readonly number[],
    speed: WorkerSpeed | undefined,
  ): StepPlacement[] {
    const workers = loads.map((_, i) => worker(`w${i}`));
    const jobStore = newJobStore(workers);
    submit(jobStore, "held", spec(step({ taskCount: 64 })));
    let index = 0;
    loads.forEach((load, i) => {
      for (let n = 0; n < load; n++) {
        place(jobStore, run(`held.0.0.${index}`, 1, `w${i}`));
        index += 1;
      }
    });
    demands.forEach((cores, i) => {
      const demand = { cpuMilli: 1_000 * cores, memoryMb: 1, gpus: 0 };
      submit(jobStore, `j${i}`, spec(step({ taskCount: 3, demand })), i);
    });
    const candidates = workers.map((candidate) =>
      new CandidateWorker(candidate, jobStore.load(candidate.id), {
        slowness: speed?.slownessOf(candidate.id, 1_000),
      })
    );
    return runPlacementPass({
      waiting: jobStore.waiting.values(),
      estimate: new WorkEstimate(),
      candidates: new Map([["intake", candidates]]),
      isPermitted: () => true,
    }, 1_000).placements;
  }

  it("is the same as without an estimate of speeds", () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 0, max: 4 }), {
          minLength: 1,
          maxLength: 12,
        }),
        fc.array(fc.integer({ min: 1, max: 4 }), { maxLength: 12 }),
        fc.array(fc.double({ min: 0.6, max: 1.7, noNaN: true }), {
          minLength: 9,
          maxLength: 9,
        }),
        (loads, demands, ratios) => {
          const speed = ordinaryPool();
          loads.forEach((_, i) => record(speed, `w${i}`, ratios));
          const keys = (found: StepPlacement[]) =>
            found.map(({ step: { name }, runs }) => ({ name, runs }));
          expect(keys(placements(loads, demands, speed)))
            .toEqual(keys(placements(loads, demands, undefined)));
        },
      ),
    );
  });
});

describe("a fleet of which every sixth VM is four times slower", () => {
  const FLEET: SimulationConfig = {
    queues: [
      { pool: "intake", vms: 6, jobsPerSecond: 18, taskMs: 640, cores: 3.1 },
      { pool: "charts", vms: 7, jobsPerSecond: 2.9, taskMs: 1_300, cores: 6.7 },
      { pool: "alerts", vms: 8, jobsPerSecond: 21.4, taskMs: 640, cores: 3.1 },
      { pool: "reduce", vms: 9, jobsPerSecond: 3.6, taskMs: 1_300, cores: 6.7 },
    ].map((load) => ({ ...load, steps: 2, tasks: 6 })),
    standbyVms: 6,
    coresOfVm: 32,
    peakMs: 9_000,
    seed: 1,
    slowFactor: (vm) => Number(vm.split("-")[1]) % 6 === 0 ? 4 : 1,
  };

  // Guards against jobs that become late because a slow worker looks like any other.
  it("serves more jobs in time if speeds are estimated", () => {
    const inTime = (usesSpeed: boolean): number =>
      [1, 2, 3].reduce((sum, seed) => {
        const speed = usesSpeed ? { speed: new WorkerSpeed() } : {};
        return sum + simulate({ ...FLEET, ...speed, seed }).inTime / 3;
      }, 0);
    expect(inTime(true) - inTime(false)).toBeGreaterThan(0.08);
  }, 30_000);
});

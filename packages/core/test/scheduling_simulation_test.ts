import { describe, expect, it } from "vitest";
import { DemandTrend, WorkEstimate } from "@quetzalcove/core/scheduling";
import {
  simulate,
  type SimulationConfig,
  type SimulationResult,
} from "./scheduling_simulation.ts";

/** Two queues with many short jobs and two with few long ones, with successive bursts of demand. */
const FLEET: SimulationConfig = {
  queues: [
    { pool: "intake", vms: 44, jobsPerSecond: 126, taskMs: 640, cores: 3.1 },
    { pool: "charts", vms: 49, jobsPerSecond: 20, taskMs: 1_300, cores: 6.7 },
    { pool: "alerts", vms: 54, jobsPerSecond: 150, taskMs: 640, cores: 3.1 },
    { pool: "reduce", vms: 60, jobsPerSecond: 25, taskMs: 1_300, cores: 6.7 },
  ].map((queue) => ({ ...queue, steps: 2, tasks: 6 })),
  standbyVms: 39,
  coresOfVm: 32,
  peakMs: 9_000,
  seed: 1,
};

/** The same with one seventh of the VMs and of the demand. */
const SMALL_FLEET: SimulationConfig = {
  ...FLEET,
  queues: FLEET.queues.map((queue) => ({
    ...queue,
    vms: Math.round(queue.vms / 7),
    jobsPerSecond: queue.jobsPerSecond / 7,
  })),
  standbyVms: 6,
};

/** A common estimate: the moving average of the ratios of actual to guessed durations. */
class MeanOfRatios extends WorkEstimate {
  readonly #ratios = new Map<string, number>();

  override observe(queue: string, guessedMs: number, tookMs: number): void {
    const known = this.#ratios.get(queue) ?? 1;
    this.#ratios.set(queue, known + 0.05 * (tookMs / guessedMs - known));
  }

  override taskMs(queue: string, guessedMs: number): number {
    return guessedMs * (this.#ratios.get(queue) ?? 1);
  }
}

const SEEDS = [1, 2, 3];

function simulateSeeds(
  config: SimulationConfig,
  change: () => Partial<SimulationConfig>,
): SimulationResult[] {
  return SEEDS.map((seed) => simulate({ ...config, ...change(), seed }));
}

function mean(
  results: readonly SimulationResult[],
  key: keyof SimulationResult,
): number {
  return results.reduce((sum, each) => sum + each[key], 0) / results.length;
}

describe.each([["large", FLEET], ["small", SMALL_FLEET]])(
  "bursts to four times the mean demand in one queue after another of a %s fleet",
  (_, config) => {
    const moving = simulateSeeds(config, () => ({}));

    it("complete over 90 % of their work in time", () => {
      expect(mean(moving, "inTime")).toBeGreaterThan(0.9);
    });

    it("complete more work in time, with fewer VM-seconds, than with a fixed split of the VMs", () => {
      const fixed = simulateSeeds(config, () => ({ choose: () => [] }));
      expect(mean(moving, "inTime")).toBeGreaterThan(mean(fixed, "inTime"));
      expect(mean(moving, "vmSecondsForWork"))
        .toBeLessThan(mean(fixed, "vmSecondsForWork"));
    });
  },
);

/** The baseline: demand stays as it is at present. */
class NoTrend extends DemandTrend {
  override forecast(): number {
    return 0;
  }
}

describe("a rise of demand that lasts longer than a move, with guesses far below the durations", () => {
  it("leaves more jobs in time with the trend of demand than without", () => {
    const late = (trend: () => DemandTrend): number =>
      [1, 2, 3, 4, 5, 6, 7, 8].reduce((sum, seed) => {
        const config = { ...SMALL_FLEET, seed, guessFactor: 0.4 };
        return sum + 1 - simulate({ ...config, trend: trend() }).inTime;
      }, 0);
    expect(late(() => new DemandTrend())).toBeLessThan(
      late(() => new NoTrend()),
    );
  });
});

describe("the estimate of task durations from inaccurate guesses", () => {
  it("saves a large fleet VM-seconds and moves compared with the mean ratio of actual to guessed durations", () => {
    const regression = simulateSeeds(FLEET, () => ({}));
    const ratios = simulateSeeds(
      FLEET,
      () => ({ estimate: new MeanOfRatios() }),
    );
    expect(mean(regression, "vmSecondsForWork"))
      .toBeLessThan(mean(ratios, "vmSecondsForWork"));
    expect(mean(regression, "moves")).toBeLessThan(mean(ratios, "moves"));
  });

  it("is unbiased in the sum over many tasks", () => {
    const estimate = new WorkEstimate();
    const real = [400, 500, 640, 800, 1_000];
    const factors = [0.5, 0.8, 1, 1.3, 2];
    const tasks = real.flatMap((tookMs) =>
      factors.map((factor) => ({ tookMs, guessedMs: tookMs * factor }))
    );
    for (let i = 0; i < 40; i++) {
      tasks.forEach(({ tookMs, guessedMs }) =>
        estimate.observe("q", guessedMs, tookMs)
      );
    }
    const sum = (values: number[]): number => values.reduce((a, b) => a + b, 0);
    const estimated = sum(
      tasks.map(({ guessedMs }) => estimate.taskMs("q", guessedMs)),
    );
    expect(estimated / sum(tasks.map(({ tookMs }) => tookMs)))
      .toBeCloseTo(1, 1);
  });

  it("shrinks guesses that do not distinguish long tasks from short ones towards the mean", () => {
    const estimate = new WorkEstimate();
    for (let i = 0; i < 200; i++) {
      // Uninformative guesses: equal tasks are guessed at half and at twice their duration.
      estimate.observe("q", i % 2 === 0 ? 500 : 2_000, 1_000);
    }
    expect(estimate.taskMs("q", 500)).toBeGreaterThan(700);
    expect(estimate.taskMs("q", 2_000)).toBeLessThan(1_400);
  });
});

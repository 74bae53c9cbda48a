import { describe, expect, it } from "vitest";
import { WorkEstimate } from "@quetzalcove/core/scheduling";
import {
  simulate,
  type SimulationConfig,
  type SimulationResult,
} from "./scheduling_simulation.ts";

/** Two queues of many short jobs and two of few long ones, whose demand rises one after the other. */
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

/** The same with a seventh of the VMs and of the demand. */
const SMALL_FLEET: SimulationConfig = {
  ...FLEET,
  queues: FLEET.queues.map((queue) => ({
    ...queue,
    vms: Math.round(queue.vms / 7),
    jobsPerSecond: queue.jobsPerSecond / 7,
  })),
  standbyVms: 6,
};

/** A common estimate that takes the mean of real durations by guesses. */
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

function play(
  plan: SimulationConfig,
  change: () => Partial<SimulationConfig>,
): SimulationResult[] {
  return SEEDS.map((seed) => simulate({ ...plan, ...change(), seed }));
}

function mean(
  results: readonly SimulationResult[],
  key: keyof SimulationResult,
): number {
  return results.reduce((sum, each) => sum + each[key], 0) / results.length;
}

describe.each([["large", FLEET], ["small", SMALL_FLEET]])(
  "demand that rises to four times its mean in one queue after the other of a %s fleet",
  (_, plan) => {
    const moving = play(plan, () => ({}));

    it("is served in time for nine tenths of the work", () => {
      expect(mean(moving, "inTime")).toBeGreaterThan(0.9);
    });

    it("is served better and with fewer VMs than by a fixed split of them", () => {
      const fixed = play(plan, () => ({ choose: () => [] }));
      expect(mean(moving, "inTime")).toBeGreaterThan(mean(fixed, "inTime"));
      expect(mean(moving, "vmSecondsForWork"))
        .toBeLessThan(mean(fixed, "vmSecondsForWork"));
    });
  },
);

describe("guesses of durations that scatter by half", () => {
  it("cost a large fleet fewer VMs and moves than with the mean of ratios", () => {
    const regression = play(FLEET, () => ({}));
    const ratios = play(FLEET, () => ({ estimate: new MeanOfRatios() }));
    expect(mean(regression, "vmSecondsForWork"))
      .toBeLessThan(mean(ratios, "vmSecondsForWork"));
    expect(mean(regression, "moves")).toBeLessThan(mean(ratios, "moves"));
  });

  it("make no error in the sum over many tasks", () => {
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

  it("tell long tasks from short ones less than they say", () => {
    const estimate = new WorkEstimate();
    for (let i = 0; i < 200; i++) {
      // Guesses that tell nothing: the same tasks guessed at half and at double.
      estimate.observe("q", i % 2 === 0 ? 500 : 2_000, 1_000);
    }
    expect(estimate.taskMs("q", 500)).toBeGreaterThan(700);
    expect(estimate.taskMs("q", 2_000)).toBeLessThan(1_400);
  });
});

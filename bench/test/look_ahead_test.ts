import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { RESERVATION_LIMITS } from "@quetzalcove/core/scheduling";
import {
  type JobResult,
  type PoolLoad,
  simulatePool,
} from "../src/scheduling/pool_simulation.ts";

const MAX_TASK_MS = 4_000;
const TICK_MS = 20;
const LARGE_CORES = 8;

/** From the start of a hold until what started before its strict part has ended. */
const MAX_HOLD_MS = RESERVATION_LIMITS.strictAfterMs + MAX_TASK_MS +
  2 * TICK_MS;

/** Pools that are overloaded for 8 s with small steps in front of large ones and gangs; guesses are up to seven times off. */
const overload: fc.Arbitrary<{ load: PoolLoad; seed: number }> = fc.record({
  seed: fc.nat(1_000_000),
  workers: fc.integer({ min: 3, max: 10 }),
  cores: fc.constantFrom([16], [32], [16, 32]),
  share: fc.double({ min: 0.8, max: 1.6, noNaN: true }),
  largeShare: fc.double({ min: 0.005, max: 0.03, noNaN: true }),
  gangTasks: fc.integer({ min: 2, max: 6 }),
}).map(({ seed, workers, cores, share, largeShare, gangTasks }) => {
  const kind = { memoryMbPerCore: 1_000, tasks: 1 };
  return {
    seed,
    load: {
      workers,
      cores,
      memoryMbPerCore: 2_000,
      racks: 3,
      kinds: [
        { ...kind, name: "small", share: 0.95, minCores: 1, maxCores: 3 },
        {
          ...kind,
          name: "large",
          share: largeShare,
          minCores: LARGE_CORES,
          maxCores: 16,
        },
        {
          ...kind,
          name: "large",
          share: largeShare / 4,
          minCores: 2,
          maxCores: 6,
          tasks: gangTasks,
          isGang: true,
        },
      ],
      demand: () => share,
      lengthMs: 8_000,
      minTaskMs: 300,
      maxTaskMs: MAX_TASK_MS,
      guessError: 7,
    },
  };
});

function waitsOf(jobs: readonly JobResult[], kind: string): number[] {
  return jobs.filter((job) => job.kind === kind).map(({ waitMs }) =>
    waitMs ?? Infinity
  );
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) /
    Math.max(1, values.length);
}

describe("a pool that is overloaded with small steps, with look-ahead", () => {
  it("starts the oldest large step within the bound, whatever its estimates, and small steps progress", () => {
    fc.assert(
      fc.property(overload, ({ load, seed }) => {
        const { jobs, longestHoldMs } = simulatePool(
          load,
          { lookAhead: true },
          seed,
        );
        expect(longestHoldMs).toBeLessThanOrEqual(MAX_HOLD_MS);
        const large = jobs.filter(({ kind }) => kind === "large");
        large.forEach(({ submittedAt, waitMs }) => {
          const older = large.filter((other) =>
            other.submittedAt <= submittedAt &&
            other.submittedAt + (other.waitMs ?? Infinity) > submittedAt
          ).length;
          expect(waitMs ?? Infinity).toBeLessThanOrEqual(
            RESERVATION_LIMITS.holdAfterMs + older * MAX_HOLD_MS,
          );
        });
        const before = simulatePool(load, { lookAhead: false }, seed).jobs;
        const small = waitsOf(jobs, "small");
        expect(small.every((ms) => ms < Infinity)).toBe(true);
        expect(mean(small)).toBeLessThan(
          mean(waitsOf(before, "small")) + 1_500,
        );
      }),
      { numRuns: 40 },
    );
  });

  it("bounds what it reserves", () => {
    fc.assert(
      fc.property(overload, ({ load, seed }) => {
        const { mostReserved } = simulatePool(
          load,
          { lookAhead: true },
          seed,
        );
        expect(mostReserved).toBeLessThanOrEqual(
          Math.max(1, RESERVATION_LIMITS.maxWorkerShare * load.workers),
        );
      }),
      { numRuns: 10 },
    );
  });
});

describe("jobs that want the same rack", () => {
  it("are done earlier when they wait for it as long as that pays off", () => {
    const kind = { memoryMbPerCore: 1_000, tasks: 1, minCores: 1, maxCores: 3 };
    const load: PoolLoad = {
      workers: 20,
      cores: [16],
      memoryMbPerCore: 2_000,
      racks: 5,
      kinds: [{ ...kind, name: "small", share: 1, rackShare: 0.3 }],
      demand: () => 0.7,
      lengthMs: 15_000,
      minTaskMs: 300,
      maxTaskMs: MAX_TASK_MS,
      guessError: 7,
    };
    const [off, on] = [false, true].map((lookAhead) => {
      const { jobs } = simulatePool(load, { lookAhead }, 1);
      const own = jobs.filter(({ dataRack }) => dataRack !== "");
      return {
        far: mean(own.map(({ isFar }) => Number(isFar))),
        tookMs: mean(own.map(({ tookMs }) => tookMs ?? Infinity)),
        allTookMs: mean(jobs.map(({ tookMs }) => tookMs ?? Infinity)),
      };
    });
    expect(on?.far).toBeLessThan(0.5 * (off?.far ?? 0));
    expect(on?.tookMs).toBeLessThan(off?.tookMs ?? 0);
    expect(on?.allTookMs).toBeLessThan(off?.allTookMs ?? 0);
  });
});

/**
 * Loads of one pool for the scheduling bench.
 *
 * @module
 */
import type { JobKind, PoolLoad } from "./pool_simulation.ts";

/** Demand of a queue in its turn rises to five times its mean for this long. */
const RISE_MS = 4_500;
const RISE_FACTOR = 5;
const TURN_MS = 20_000;
const RISE_AT_MS = 5_000;

const EVEN_KINDS: readonly JobKind[] = [
  kind("small", { share: 0.9, minCores: 1, maxCores: 3 }),
  kind("medium", { share: 0.15, minCores: 4, maxCores: 7, tasks: 2 }),
  kind("large", { share: 0.05, minCores: 8, maxCores: 16 }),
  kind("gang", {
    share: 0.01,
    minCores: 2,
    maxCores: 6,
    tasks: 8,
    isGang: true,
  }),
];

/** Jobs that need mainly CPU, and jobs that need mainly memory. */
const APART_KINDS: readonly JobKind[] = [
  kind("cpu", {
    share: 0.45,
    minCores: 2,
    maxCores: 6,
    memoryMbPerCore: 800,
  }),
  kind("memory", {
    share: 0.45,
    minCores: 1,
    maxCores: 3,
    memoryMbPerCore: 5_600,
  }),
  kind("large", {
    share: 0.08,
    minCores: 8,
    maxCores: 12,
    memoryMbPerCore: 2_000,
  }),
];

const RACK_KINDS: readonly JobKind[] = [
  kind("small", { share: 0.9, minCores: 1, maxCores: 3, rackShare: 0.3 }),
  kind("medium", {
    share: 0.15,
    minCores: 4,
    maxCores: 7,
    tasks: 2,
    rackShare: 0.3,
  }),
];

const BASE: PoolLoad = {
  workers: 50,
  cores: [16],
  memoryMbPerCore: 4_000,
  racks: 5,
  kinds: EVEN_KINDS,
  demand: steady(0.9),
  lengthMs: 40_000,
  minTaskMs: 300,
  maxTaskMs: 4_000,
  guessError: 7,
};

/** Small jobs beside large ones and gangs. */
export const LARGE_STEP_LOADS: Readonly<Record<string, PoolLoad>> = {
  "steady 85 %": { ...BASE, demand: steady(0.85) },
  "steady 95 %": { ...BASE, demand: steady(0.95) },
  "rises to 150 %": { ...BASE, demand: rises(0.3) },
  "rises to 200 %": { ...BASE, demand: rises(0.4) },
  "overload 110 %": { ...BASE, demand: steady(1.1) },
};

/** Loads that a score of CPU and memory apart may pack better. */
export const FIT_LOADS: Readonly<Record<string, PoolLoad>> = {
  "apart, steady 88 %": { ...BASE, kinds: APART_KINDS, demand: steady(0.88) },
  "apart, rises to 140 %": {
    ...BASE,
    kinds: APART_KINDS,
    demand: rises(0.28),
  },
  "even, steady 93 %": { ...BASE, demand: steady(0.93) },
};

/** A third of the jobs want the same one of five racks. */
export const RACK_LOADS: Readonly<Record<string, PoolLoad>> = {
  "steady 50 %": { ...BASE, kinds: RACK_KINDS, demand: steady(0.5) },
  "steady 80 %": { ...BASE, kinds: RACK_KINDS, demand: steady(0.8) },
  "rises to 100 %": { ...BASE, kinds: RACK_KINDS, demand: rises(0.2) },
  "rises to 150 %": { ...BASE, kinds: RACK_KINDS, demand: rises(0.3) },
};

function kind(name: string, changes: Partial<JobKind>): JobKind {
  return {
    name,
    share: 1,
    minCores: 1,
    maxCores: 1,
    memoryMbPerCore: 1_000,
    tasks: 1,
    ...changes,
  };
}

function steady(share: number): PoolLoad["demand"] {
  return () => share;
}

function rises(mean: number): PoolLoad["demand"] {
  return (now) => {
    const at = now % TURN_MS - RISE_AT_MS;
    return at >= 0 && at < RISE_MS ? RISE_FACTOR * mean : mean;
  };
}

import {
  apply,
  type Budget,
  DemandEstimator,
  emptyState,
  expectedPeak,
  spendingOf,
  type State,
  windowRemainingMs,
} from "@quetzalcove/core";
import fc from "fast-check";
import { describe, expect, test } from "vitest";
import {
  defaultInventory,
  defaultRules,
  FleetSimulation,
} from "./maintenance_simulation.ts";

const DAY_MS = 86_400_000;
const NOON = 100.5 * DAY_MS;
const BUDGET: Budget = { unservedShare: 0.01, windowMs: 30 * DAY_MS };

function configured(): State {
  return new FleetSimulation({
    inventory: defaultInventory(),
    rules: defaultRules(),
  }).state;
}

interface Counts {
  needed: number;
  unserved: number;
  incarnation?: number;
  entry?: string;
}

function report(state: State, at: number, counts: Counts): void {
  const reading = { entry: "e1", incarnation: 1, service: "a", ...counts };
  apply(state, { kind: "budget.account", readings: [reading], peaks: [], at });
}

function peak(state: State, at: number, slots: number): void {
  const peaks = [{ service: "a", slots }];
  apply(state, { kind: "budget.account", readings: [], peaks, at });
}

function spending(state: State, now: number): ReturnType<typeof spendingOf> {
  return spendingOf(state.accounts.services["a"], BUDGET, now);
}

describe("accounts", () => {
  test("count each report once, even if it is applied repeatedly or late", () => {
    const counters = fc.array(
      fc.record({ needed: fc.nat(100), unserved: fc.nat(5) }),
      { minLength: 1, maxLength: 20 },
    );
    fc.assert(
      fc.property(counters, fc.array(fc.nat(19)), (steps, repeats) => {
        let needed = 0;
        let unserved = 0;
        const reports = steps.map((step) => {
          needed += step.needed;
          unserved += step.unserved;
          return { needed, unserved };
        });
        const state = configured();
        for (const [i, counts] of reports.entries()) {
          report(state, NOON, counts);
          const repeated = reports[Math.min(i, repeats[i] ?? 0)];
          report(state, NOON, repeated ?? counts);
        }
        expect(spending(state, NOON)).toMatchObject({ needed, unserved });
      }),
      { seed: 5 },
    );
  });

  test("add the counters of a restarted entry and ignore late reports of its old incarnation", () => {
    const state = configured();
    report(state, NOON, { needed: 100, unserved: 1 });
    report(state, NOON, { needed: 10, unserved: 2, incarnation: 2 });
    report(state, NOON, { needed: 200, unserved: 9 });
    expect(spending(state, NOON)).toMatchObject({ needed: 110, unserved: 3 });
  });

  test("drop buckets that left the window and stay bounded", () => {
    const state = configured();
    for (let hour = 0; hour < 100 * 24; hour++) {
      const unserved = Math.min(hour, 10);
      report(state, NOON + hour * DAY_MS / 24, { needed: hour * 10, unserved });
    }
    const account = state.accounts.services["a"];
    expect(account?.buckets.length).toBeLessThanOrEqual(31);
    expect(spending(state, NOON + 100 * DAY_MS).unserved).toBe(0);
  });

  test("project the requests of a window that has only begun", () => {
    const state = configured();
    report(state, NOON, { needed: 1_000, unserved: 150 });
    const { allowed, left } = spending(state, NOON);
    expect(allowed).toBeCloseTo(0.01 * 1_000 * 30);
    expect(left).toBeCloseTo(0.5);
  });

  test("hold back every planned stop of a service whose budget is nearly spent", () => {
    const simulation = new FleetSimulation();
    report(simulation.state, simulation.now, { needed: 1_000, unserved: 25 });
    simulation.until(() => simulation.state.rollout.wave !== null);
    expect(simulation.state.rollout.wave?.vms).toEqual(["z0-r0-b"]);
    expect(simulation.lastDecision.holds.find((hold) => hold.rule === "budget"))
      .toMatchInlineSnapshot(`
        {
          "domain": "z0",
          "figure": 0.16666666666666663,
          "limit": 0.25,
          "message": "Service "a" has 17 % of its availability budget left; planned stops need more than 25 %",
          "rule": "budget",
          "service": "a",
          "vm": "z0-r0-a",
        }
      `);
  });
});

describe("demand", () => {
  test("peaks of the previous day count at the same hour and decay", () => {
    const state = configured();
    peak(state, NOON, 40);
    const peakAfter = (days: number): number | undefined =>
      expectedPeak(
        state.accounts.services["a"],
        NOON + (days - 0.25) * DAY_MS,
        NOON + (days + 0.25) * DAY_MS,
      );
    expect(peakAfter(1)).toBe(40);
    peak(state, NOON + DAY_MS, 10);
    expect(peakAfter(2)).toBeCloseTo(38);
  });

  test("the estimate is a high quantile, at most one bucket too high", () => {
    fc.assert(
      fc.property(
        fc.array(fc.nat(500), { minLength: 1, maxLength: 200 }),
        (samples) => {
          const estimator = new DemandEstimator();
          samples.forEach((slots) =>
            estimator.record("a", { slots, at: NOON })
          );
          const sorted = samples.toSorted((a, b) => a - b);
          const rank = Math.ceil(samples.length * 0.99) - 1;
          const exact = sorted[rank] ?? 0;
          const { slots = -1 } = estimator.estimate("a") ?? {};
          expect(slots).toBeGreaterThanOrEqual(exact - 1e-6);
          expect(slots).toBeLessThanOrEqual((exact + 1) * 1.05);
        },
      ),
      { seed: 6 },
    );
  });

  test("old samples decay in favour of new ones", () => {
    const estimator = new DemandEstimator({ halfLifeMs: 60_000 });
    for (let i = 0; i < 100; i++) {
      estimator.record("a", { slots: 100, at: NOON + i * 1_000 });
    }
    for (let i = 0; i < 900; i++) {
      estimator.record("a", { slots: 10, at: NOON + (100 + i) * 1_000 });
    }
    expect(estimator.estimate("a")?.slots).toBeLessThan(12);
  });
});

test("windows may span midnight", () => {
  const windows = [{ from: "22:00", to: "02:00" }];
  const at = (hour: number): number =>
    windowRemainingMs(windows, 100 * DAY_MS + hour * 3_600_000) / 3_600_000;
  expect([21, 22, 23, 0, 1, 2, 3].map(at)).toEqual([0, 4, 3, 2, 1, 0, 0]);
  expect(windowRemainingMs([], 0)).toBe(Number.POSITIVE_INFINITY);
  expect(emptyState().rollout.round).toBe(0);
});

import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  allowedJobs,
  CustomerAdmission,
  type JobStore,
  MAX_RETRY_AFTER_MS,
  MIN_RETRY_AFTER_MS,
  PoolBacklogs,
  RATE_WINDOW_MS,
  startSlackMs,
  WorkEstimate,
} from "@quetzalcove/core/scheduling";
import {
  type AdmissionModelConfig,
  type CustomerLoad,
  type CustomerResult,
  JOBS_PER_WORKER_AND_SECOND,
  runAdmissionModel,
} from "./scheduling_admission_model.ts";
import {
  newJobStore,
  place,
  queue,
  run,
  spec,
  step,
  worker,
} from "./scheduling_fixture.ts";

const CUSTOMERS = 8;
const WEIGHT = 9;
const HOT_FROM_MS = 3_000;
const HOT_UNTIL_MS = 9_000;

/** Workers that serve all customers at their weight and 10 % more. */
const FULL_WORKERS = Math.ceil(
  1.1 * CUSTOMERS * WEIGHT / JOBS_PER_WORKER_AND_SECOND,
);

/** Customers at their weight, of which the first `hot` send six times as much for 6 s. */
function loadsWith(hot: number): CustomerLoad[] {
  return Array.from({ length: CUSTOMERS }, (_, i) => ({
    name: `c${i}`,
    weight: WEIGHT,
    rate: (now) =>
      i < hot && now >= HOT_FROM_MS && now < HOT_UNTIL_MS ? 6 * WEIGHT : WEIGHT,
  }));
}

/** Results of the hot customers and of the others. */
function play(
  hot: number,
  changes: Partial<AdmissionModelConfig> = {},
): { hot: CustomerResult[]; others: CustomerResult[] } {
  const results = runAdmissionModel({
    loads: loadsWith(hot),
    workers: FULL_WORKERS,
    durationMs: 14_000,
    seed: 1,
    hasAdmission: true,
    ...changes,
  });
  const all = [...results.values()];
  return { hot: all.slice(0, hot), others: all.slice(hot) };
}

function sumOf(
  results: readonly CustomerResult[],
  value: (result: CustomerResult) => number,
): number {
  return results.reduce((sum, result) => sum + value(result), 0);
}

/** Share of the submitted jobs that were accepted and started in time. */
function servedShare(results: readonly CustomerResult[]): number {
  return sumOf(results, ({ accepted, late }) => accepted - late) /
    sumOf(results, ({ submitted }) => submitted);
}

describe("customers at six times their weight for 6 s in a full pool", () => {
  // Guards against an excess that makes the jobs of other customers late.
  it.each([
    { hot: 1, seed: 1, least: 0.97 },
    { hot: 1, seed: 2, least: 0.97 },
    { hot: 3, seed: 1, least: 0.9 },
    { hot: 3, seed: 2, least: 0.9 },
  ])(
    "leave the others served: $hot of them, seed $seed",
    ({ hot, seed, least }) => {
      const without = play(hot, { seed, hasAdmission: false });
      const withAdmission = play(hot, { seed });
      const lateShare = (results: readonly CustomerResult[]): number =>
        sumOf(results, ({ late }) => late) /
        sumOf(results, ({ submitted }) => submitted);
      expect(servedShare(withAdmission.others)).toBeGreaterThan(least);
      expect(lateShare(withAdmission.others))
        .toBeLessThan(lateShare(without.others) * 0.6);
      expect(sumOf(withAdmission.hot, ({ late }) => late))
        .toBeLessThan(sumOf(without.hot, ({ late }) => late) * 0.2);
    },
  );

  // Guards against a decision that refuses customers for the excess of another one.
  it("are the only ones refused, but for a few jobs", () => {
    const { hot, others } = play(1);
    expect(sumOf(hot, ({ refusedAt }) => refusedAt.length)).toBeGreaterThan(50);
    expect(sumOf(others, ({ refusedAt }) => refusedAt.length)).toBeLessThan(
      0.01 * sumOf(others, ({ submitted }) => submitted),
    );
  });

  it("are told so within two seconds", () => {
    const { hot } = play(1);
    const [first = Infinity] = hot[0]?.refusedAt ?? [];
    expect(first - HOT_FROM_MS).toBeLessThan(2_000);
  });

  // Guards against callers that return together and are refused together again.
  it("get retries that are spread", () => {
    const { hot } = play(3);
    const retries = hot.flatMap(({ retryAt }) => retryAt);
    const bySlot = new Map<number, number>();
    for (const at of retries) {
      const slot = Math.floor(at / 100);
      bySlot.set(slot, (bySlot.get(slot) ?? 0) + 1);
    }
    const mean = retries.length / bySlot.size;
    expect(Math.max(...bySlot.values())).toBeLessThan(4 * mean);
  });
});

describe("a customer at six times its weight while the pool has room", () => {
  it("is not refused", () => {
    const { hot, others } = play(1, { workers: 2 * FULL_WORKERS });
    expect([...hot, ...others].flatMap(({ refusedAt }) => refusedAt)).toEqual(
      [],
    );
  });
});

describe("a customer at six times its weight that goes quiet", () => {
  // Guards against a customer that is refused for what it sent before, though nothing waits any more.
  it("is accepted again as soon as the backlog has drained", () => {
    const loads = loadsWith(1).map((load, i): CustomerLoad => ({
      ...load,
      // The others send a quarter as much then, so that the backlog drains in spite of the retries.
      rate: (now) =>
        now < HOT_UNTIL_MS ? load.rate(now) : i === 0 ? 0 : WEIGHT / 4,
    }));
    // The last retry comes 5 s after the last refusal.
    const { hot } = play(1, { loads, durationMs: 17_000 });
    const { submitted = 0, accepted = 0, refusedAt = [], retryAt = [] } =
      hot[0] ?? {};
    const lastRefusal = Math.max(...refusedAt);
    expect(lastRefusal).toBeGreaterThan(HOT_UNTIL_MS - 500);
    // A backlog of 0.9 s of the capacity of 80 jobs a second drains at 80 less some 36 jobs a second.
    expect(lastRefusal).toBeLessThan(HOT_UNTIL_MS + 1_800);
    expect(retryAt.filter((at) => at > lastRefusal).length)
      .toBeGreaterThan(20);
    expect(accepted).toBe(submitted);
  });
});

describe("a change of leader while customers are refused", () => {
  // Guards against refusals based on rates that the new leader cannot know.
  it("refuses nobody in the first window, and refuses again after it", () => {
    const leaderChangeAtMs = 5_000;
    const { hot, others } = play(3, { leaderChangeAtMs });
    const refusedAt = [...hot, ...others].flatMap((result) => result.refusedAt);
    const windowEnd = leaderChangeAtMs + RATE_WINDOW_MS;
    const refusedIn = (from: number, until: number): number =>
      refusedAt.filter((at) => at >= from && at < until).length;
    expect(refusedIn(leaderChangeAtMs - 1_000, leaderChangeAtMs))
      .toBeGreaterThan(0);
    expect(refusedIn(leaderChangeAtMs, windowEnd)).toBe(0);
    expect(refusedIn(windowEnd, windowEnd + 1_000)).toBeGreaterThan(0);
  });
});

describe("the admission of one customer", () => {
  const customer = { name: "c", weight: 10 };
  const submission = { customer, pool: "intake", slackMs: 900 };
  const deep = { waitMs: 3_000, drainMs: 40 };
  const drained = { waitMs: 0, drainMs: 40 };

  it("accepts again at once when the backlog has drained", () => {
    const admission = new CustomerAdmission(-Infinity);
    for (let i = 0; i < allowedJobs(10); i++) {
      admission.decide(submission, deep, 0);
    }
    expect(admission.decide(submission, deep, 0).kind).toBe("refuse");
    expect(admission.decide(submission, drained, 0).kind).toBe("accept");
  });

  it("accepts a late job while nothing waits", () => {
    const admission = new CustomerAdmission(-Infinity);
    const late = { ...submission, slackMs: -100 };
    const kinds = Array.from(
      { length: 100 },
      () => admission.decide(late, drained, 0).kind,
    );
    expect(new Set(kinds)).toEqual(new Set(["accept"]));
  });

  // Guards against counting in fixed intervals, around whose boundary a burst counts half.
  it("counts a burst the same at any time", () => {
    fc.assert(fc.property(
      fc.integer({ min: 0, max: 10_000 }),
      fc.integer({ min: 0, max: RATE_WINDOW_MS - 1 }),
      (from, lengthMs) => {
        const admission = new CustomerAdmission(-Infinity);
        const accepted = Array.from({ length: 100 }, (_, i) =>
          admission.decide(
            submission,
            deep,
            from + Math.floor(i * lengthMs / 100),
          ).kind === "accept").filter(Boolean);
        expect(accepted.length).toBe(Math.floor(allowedJobs(10)));
      },
    ));
  });

  it("allows bursts of customers with a small weight", () => {
    expect(
      [0, 0.2, 1, 10, 100].map((weight) => Math.floor(allowedJobs(weight))),
    )
      .toEqual([3, 3, 6, 33, 300]);
  });

  // Guards against retries of one instant that come back as one.
  it("gives each refused caller a later slot within the bounds", () => {
    const admission = new CustomerAdmission(-Infinity);
    const retries: number[] = [];
    for (let i = 0; i < 120; i++) {
      const decision = admission.decide(submission, deep, 0);
      if (decision.kind === "refuse") {
        retries.push(decision.retryAfterMs);
      }
    }
    const sorted = [...retries].sort((a, b) => a - b);
    // After (5 s - 2.1 s) / 40 ms = 72 slots they begin again.
    expect(retries.slice(0, 72)).toEqual(
      sorted.filter((value, i) => value !== sorted[i - 1]).slice(0, 72),
    );
    expect(Math.min(...retries)).toBe(2_100);
    expect(Math.max(...retries)).toBeLessThanOrEqual(MAX_RETRY_AFTER_MS);
    expect(new Set(retries).size).toBeGreaterThanOrEqual(72);
  });

  it("bounds Retry-After whatever the backlog", () => {
    fc.assert(fc.property(
      fc.double({ min: 1, noNaN: true }),
      fc.double({ min: 0, noNaN: true }),
      (waitMs, drainMs) => {
        const admission = new CustomerAdmission(-Infinity);
        for (let i = 0; i < 100; i++) {
          const decision = admission.decide(
            { ...submission, slackMs: -1 },
            { waitMs, drainMs },
            i,
          );
          if (decision.kind === "refuse") {
            expect(decision.retryAfterMs).toBeGreaterThanOrEqual(
              MIN_RETRY_AFTER_MS,
            );
            expect(decision.retryAfterMs).toBeLessThanOrEqual(
              MAX_RETRY_AFTER_MS,
            );
          }
        }
      },
    ));
  });
});

describe("the backlog of a pool", () => {
  const CAPPED = {
    name: "capped",
    keyDigests: [],
    weight: 1,
    cap: { cpuMilli: 2_000, memoryMb: 0, gpus: 0 },
  };

  /** A store with one worker of four cores and the customers "capped", with a cap of two cores, and "free". */
  function storeWith(...jobs: [id: string, customer: string][]): JobStore {
    const store = newJobStore([worker("w1")]);
    store.apply({
      kind: "plan",
      plan: {
        ...store.plan,
        version: 2,
        customers: [CAPPED, {
          ...CAPPED,
          name: "free",
          cap: { cpuMilli: 0, memoryMb: 0, gpus: 0 },
        }],
      },
    });
    store.apply({
      kind: "submit",
      jobs: jobs.map(([id, customer]) => ({
        id,
        queue: "reports",
        pool: "intake",
        customer,
        spec: spec(step()),
      })),
      atMs: 0,
    });
    return store;
  }

  function backlogsOf(store: JobStore): PoolBacklogs {
    const backlogs = new PoolBacklogs(new WorkEstimate());
    const workers = new Map([["intake", [...store.workers.values()]]]);
    backlogs.refresh(store, workers, 0);
    return backlogs;
  }

  function jobsOf(customer: string, count: number): [string, string][] {
    return Array.from(
      { length: count },
      (_, i) => [`${customer}${i}`, customer],
    );
  }

  it("is empty while the free cores suffice for all that waits", () => {
    const backlogs = backlogsOf(storeWith(...jobsOf("free", 4)));
    expect(backlogs.waitMs("intake", "free", 0)).toBe(0);
  });

  it("takes as long as the pool needs for what waits beyond its free cores", () => {
    const backlogs = backlogsOf(storeWith(...jobsOf("free", 12)));
    expect(backlogs.waitMs("intake", "other", 0)).toBe(2_000);
  });

  // Guards against refusing customers while there is room because another one waits for its own cap.
  it("does not count what waits for its customer's cap", () => {
    const store = storeWith(...jobsOf("capped", 50));
    place(store, run("capped0.0.0.0", 1, "w1"), run("capped1.0.0.0", 1, "w1"));
    expect(backlogsOf(store).waitMs("intake", "free", 0)).toBe(0);
  });

  it("is infinite while work waits and the pool has no worker", () => {
    const store = storeWith(...jobsOf("free", 1));
    const backlogs = new PoolBacklogs(new WorkEstimate());
    backlogs.refresh(store, new Map(), 0);
    expect(backlogs.waitMs("intake", "free", 0)).toBe(Infinity);
  });

  it("grows with each accepted job before it is computed anew", () => {
    const store = storeWith(...jobsOf("free", 8));
    const backlogs = backlogsOf(store);
    const before = backlogs.waitMs("intake", "free", 0);
    backlogs.addJob({
      id: "new",
      queue: "reports",
      pool: "intake",
      customer: "free",
      spec: spec(step({ taskCount: 4 })),
    });
    expect(backlogs.waitMs("intake", "free", 0)).toBeGreaterThan(before);
  });

  // Guards against an estimate that takes the capacity of slow workers for what they achieve.
  it("drains at the rate that was measured since it began", () => {
    const store = storeWith(...jobsOf("free", 12));
    const workers = new Map([["intake", [...store.workers.values()]]]);
    const backlogs = new PoolBacklogs(new WorkEstimate());
    backlogs.refresh(store, workers, 0);
    const owner = { pool: "intake", queue: "reports", customer: "free" };
    // Two cores' worth of work a second, of the four that the pool has.
    backlogs.recordStart(owner, step(), 2, 500);
    backlogs.refresh(store, workers, 1_000);
    expect(backlogs.waitMs("intake", "other", 1_000)).toBe(4_000);
  });
});

it("a job may wait for its objective less its critical path", () => {
  const job = {
    id: "a",
    queue: "reports",
    pool: "intake",
    spec: spec(step({ estimatedMs: 500 })),
  };
  const policy = queue({ slackFactor: 1.6, targetLatencyMs: 600 });
  // 1.6 times 500 ms plus 600 ms, less 500 ms.
  expect(startSlackMs(job, policy, new WorkEstimate(), 70_000)).toBe(900);
});

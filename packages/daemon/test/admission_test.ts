import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Err, type Fault, fault, Ok, type Result } from "@quetzalcove/core";
import {
  type JobStore,
  type JobStoreCommand,
  ownsDirectory,
  RATE_WINDOW_MS,
  REPEAT_HORIZON_MS,
  type SubmittedJob,
  WorkEstimate,
} from "@quetzalcove/core/scheduling";
import {
  customer,
  newJobStore,
  place,
  planOf,
  queue,
  run,
  spec,
  step,
  worker,
} from "../../core/test/scheduling_fixture.ts";
import type { LogFields } from "../src/observe/log.ts";
import { Metrics } from "../src/observe/metrics.ts";
import { AdmissionController } from "../src/scheduler/admission_controller.ts";
import { CustomerClient } from "../src/scheduler/customer_client.ts";
import {
  customerSamples,
  MAX_CUSTOMER_LABELS,
  registerCustomerMetrics,
} from "../src/scheduler/customer_metrics.ts";
import type { CustomerStatus } from "../src/scheduler/customer_status.ts";
import { LeaderApi } from "../src/scheduler/leader_api.ts";
import type { CustomerMethod } from "../src/scheduler/methods.ts";
import {
  consensusOf,
  ignore,
  memoryOf,
  QUIET_LOG,
  TEST_CLOCK,
} from "./scheduler_fixture.ts";

const REFUSAL = fault("over_quota", "Customer beyond its weight", {
  outcome: "not run",
  retryAfterMs: 1_200,
  repeat: { forMs: 500, exceptMarks: [] },
});

beforeEach(() => {
  vi.useFakeTimers();
  vi.setSystemTime(100_000);
});

afterEach(() => {
  vi.useRealTimers();
});

function job(
  id: string,
  owner: string | undefined,
  estimatedMs = 1_000,
): SubmittedJob {
  return {
    id,
    queue: "reports",
    pool: "intake",
    customer: owner,
    spec: spec(step({ estimatedMs })),
  };
}

/** A store whose four cores run jobs of "calm", while `waiting` jobs of "hot" wait. */
function fullStore(waiting: number): JobStore {
  const store = newJobStore([worker("w1")]);
  store.apply({
    kind: "plan",
    plan: {
      ...planOf([customer("calm", "c"), {
        ...customer("hot", "h"),
        cap: { cpuMilli: 100_000, memoryMb: 0, gpus: 0 },
      }]),
      version: 2,
    },
  });
  const running = ["r1", "r2", "r3", "r4"];
  store.apply({
    kind: "submit",
    jobs: [
      ...running.map((id) => job(id, "calm")),
      ...Array.from({ length: waiting }, (_, i) => job(`waiting${i}`, "hot")),
    ],
    atMs: Date.now() - 500,
  });
  place(store, ...running.map((id) => run(`${id}.0.0.0`, 1, "w1")));
  return store;
}

/** A controller some time after its term began, and the lines that it logs. */
async function controllerOf(
  store: JobStore,
  ageMs = REPEAT_HORIZON_MS,
): Promise<{
  controller: AdmissionController;
  refresh: () => void;
  lines: [string, LogFields | undefined][];
}> {
  const lines: [string, LogFields | undefined][] = [];
  const controller = new AdmissionController({
    consensus: consensusOf(store),
    clock: TEST_CLOCK,
    log: { ...QUIET_LOG, warn: (event, fields) => lines.push([event, fields]) },
    estimate: new WorkEstimate(),
  });
  await vi.advanceTimersByTimeAsync(ageMs);
  const refresh = (): void => {
    const workers = new Map([["intake", [...store.workers.values()]]]);
    controller.refresh(() => workers, Date.now());
  };
  refresh();
  return { controller, refresh, lines };
}

/** Results of submissions of a customer, one each 10 ms. */
async function submitMany(
  controller: AdmissionController,
  owner: string | undefined,
  count: number,
  estimatedMs?: number,
): Promise<Result<void, Fault>[]> {
  const results: Result<void, Fault>[] = [];
  for (let i = 0; i < count; i++) {
    results.push(controller.accept(job(`${owner}${i}`, owner, estimatedMs)));
    await vi.advanceTimersByTimeAsync(10);
  }
  return results;
}

describe("a leader with a full pool", () => {
  it("refuses what a customer sends beyond its allowance", async () => {
    const { controller } = await controllerOf(fullStore(40));
    const results = await submitMany(controller, "hot", 10);
    expect(results.map(({ ok }) => ok)).toEqual([
      ...Array(6).fill(true),
      ...Array(4).fill(false),
    ]);
    expect(results.at(-1)?.val).toMatchSnapshot();
  });

  // Guards against entries that refuse repeats of jobs which the leader before has accepted.
  it("lets no entry repeat its refusals until it knows what was accepted lately", async () => {
    const store = fullStore(40);
    const { controller } = await controllerOf(store, RATE_WINDOW_MS);
    const results = await submitMany(controller, "hot", 10);
    const { val } = results.at(-1) ?? {};
    expect(val).toMatchObject({ kind: "over_quota", outcome: "not run" });
    expect(val).not.toHaveProperty("repeat");
  });

  it("accepts the same from a customer that sends no more than its weight", async () => {
    const { controller } = await controllerOf(fullStore(40));
    await submitMany(controller, "hot", 20);
    const results = await submitMany(controller, "calm", 6);
    expect(results.every(({ ok }) => ok)).toBe(true);
  });

  it("refuses no anonymous submission", async () => {
    const { controller } = await controllerOf(fullStore(40));
    const results = await submitMany(controller, undefined, 50);
    expect(results.every(({ ok }) => ok)).toBe(true);
  });

  it("refuses nobody while the waiting work starts in time", async () => {
    const { controller } = await controllerOf(fullStore(0));
    // Each is late if it waits for 660 ms; the four cores start the others in 300 ms.
    const results = await submitMany(controller, "hot", 12, 100);
    expect(results.every(({ ok }) => ok)).toBe(true);
  });

  // Guards against a log that grows with the load.
  it("logs one line for each refused customer and second", async () => {
    const { controller, refresh, lines } = await controllerOf(fullStore(40));
    for (let i = 0; i < 25; i++) {
      await submitMany(controller, "hot", 10);
      refresh();
    }
    expect(lines.map(([event, fields]) => [event, fields?.["count"]])).toEqual([
      ["submissions.refused", 4],
      ["submissions.refused", 100],
      // When the window has slid past the first six accepted ones, six more are accepted.
      ["submissions.refused", 94],
    ]);
    expect(lines[0]).toMatchSnapshot();
  });

  it("shows each customer's use, wait and refusals", async () => {
    const { controller } = await controllerOf(fullStore(40));
    await submitMany(controller, "hot", 10);
    expect(controller.describe()).toMatchSnapshot();
  });

  // Guards against messages and lines from which a key could be learned.
  it("names no key", async () => {
    const { controller, refresh, lines } = await controllerOf(fullStore(40));
    const results = await submitMany(controller, "hot", 10);
    refresh();
    const text = JSON.stringify([results, lines, controller.describe()]);
    expect(text).not.toContain('"h"');
    expect(text).not.toContain("keyDigest");
  });
});

describe("a leader's answer to a submission that is refused", () => {
  /** A leader API that refuses every new job and commits when told. */
  function refusingApi(accepted: readonly string[] = []): {
    submit: (id: string) => Promise<Result<unknown, Fault>>;
    proposed: JobStoreCommand[];
    commit: () => void;
    store: JobStore;
  } {
    const store = newJobStore([]);
    store.apply({
      kind: "plan",
      plan: { ...planOf([customer("hot", "h")]), version: 2 },
    });
    const proposed: JobStoreCommand[] = [];
    const commits: (() => void)[] = [];
    const api = new LeaderApi({
      consensus: consensusOf(store, {
        propose: (command) => {
          proposed.push(command);
          return new Promise((resolve) => {
            commits.push(() => resolve(store.apply(command)));
          });
        },
      }),
      clock: TEST_CLOCK,
      log: QUIET_LOG,
      onChange: ignore,
      onAccepted: ignore,
      accept: ({ id }) => accepted.includes(id) ? Ok.EMPTY : Err(REFUSAL),
      vacate: () => Promise.resolve(),
      memory: memoryOf({ state: store }),
    });
    const handler = api.handlers().get("submit_job");
    return {
      submit: (id) =>
        handler?.({
          host: "reports.example",
          path: `/reports/${id}`,
          keyDigest: "h",
          spec: spec(step()),
        }) ?? Promise.reject(new Error("absent")),
      proposed,
      commit: () => commits.forEach((apply) => apply()),
      store,
    };
  }

  it('is "not run", and nothing is proposed', async () => {
    const { submit, proposed } = refusingApi();
    expect((await submit("new")).val).toEqual(REFUSAL);
    expect(proposed).toEqual([]);
  });

  it("is no refusal if the job was accepted before", async () => {
    const { submit, store } = refusingApi();
    store.apply({ kind: "submit", jobs: [job("known", "hot")], atMs: 0 });
    expect(await submit("known")).toEqual(Ok({}));
  });

  // Guards against the answer "not run" for a job that is stored a moment later.
  it("is no refusal while the job is being stored", async () => {
    const accepted = ["first"];
    const { submit, commit } = refusingApi(accepted);
    const first = submit("first");
    await vi.advanceTimersByTimeAsync(1);
    accepted.pop();
    const repeat = submit("first");
    await vi.advanceTimersByTimeAsync(1);
    commit();
    expect((await repeat).ok).toBe(true);
    await first;
  });
});

describe("an entry whose customer was refused", () => {
  const ROUND_TRIP_MS = 5;

  /** An entry whose leader refuses submissions, and the calls that reach the leader. */
  function entryWith(
    answers: Partial<Record<string, Result<unknown, Fault>>> = {},
    roundTripMs = ROUND_TRIP_MS,
  ): {
    call: (
      id: string,
      method?: CustomerMethod,
      keyDigest?: string,
    ) => Promise<Result<unknown, Fault>>;
    leaderCalls: string[];
  } {
    const leaderCalls: string[] = [];
    const client = new CustomerClient({
      call: async (method, params) => {
        const id = (params as { path: string }).path.slice("/reports/".length);
        leaderCalls.push(`${method} ${id}`);
        await vi.advanceTimersByTimeAsync(roundTripMs);
        return method === "submit_job"
          ? answers[id] ?? Err(REFUSAL)
          : Ok({ isKnown: true });
      },
      metrics: new Metrics(),
      clock: TEST_CLOCK,
    });
    return {
      call: (id, method = "submit_job", keyDigest = "h") =>
        client.call(method, {
          host: "reports.example",
          path: `/reports/${id}`,
          keyDigest,
          spec: spec(step()),
        }, 1_000),
      leaderCalls,
    };
  }

  // Guards against an excess that takes the leader's time with one call for each refusal.
  it("refuses for 500 ms itself, then asks the leader again", async () => {
    const { call, leaderCalls } = entryWith();
    for (let i = 0; i < 200; i++) {
      const { val } = await call(`j${i}`);
      expect(val).toMatchObject({ kind: "over_quota", outcome: "not run" });
      await vi.advanceTimersByTimeAsync(10);
    }
    // Two seconds of refusals.
    expect(leaderCalls.length).toBe(4);
  });

  it("passes on other customers, readings and cancellations", async () => {
    const { call, leaderCalls } = entryWith();
    await call("a");
    await call("b");
    await call("c", "submit_job", "other");
    await call("a", "read_queue");
    await call("a", "cancel_job");
    expect(leaderCalls).toEqual([
      "submit_job a",
      "submit_job c",
      "read_queue a",
      "cancel_job a",
    ]);
  });

  it("does not repeat a refusal that took 500 ms to arrive", async () => {
    const { call, leaderCalls } = entryWith({}, 500);
    await call("a");
    await call("b");
    expect(leaderCalls.length).toBe(2);
  });

  // Guards against the answer "not run" for a job that the lost leader had stored.
  it("passes on a repeat of a submission without a clear answer", async () => {
    const unclear = fault("timeout", "No answer", { outcome: "unknown" });
    const { call, leaderCalls } = entryWith({ x: Err(unclear) });
    await call("x");
    await call("a");
    await call("b");
    await call("x");
    expect(leaderCalls).toEqual([
      "submit_job x",
      "submit_job a",
      "submit_job x",
    ]);
  });
});

describe("the metrics of customers", () => {
  function status(
    name: string,
    changes: Partial<CustomerStatus> = {},
  ): CustomerStatus {
    return {
      name,
      weight: 1,
      runningCores: 2,
      capCores: 10,
      capShare: 0.2,
      waitingSteps: 3,
      oldestWaitMs: 1_500,
      accepted: 4,
      refused: { rate: 1 },
      ...changes,
    };
  }

  it("are exported with the customer's name", () => {
    const metrics = new Metrics();
    registerCustomerMetrics(metrics, () => [status("acme")]);
    expect(metrics.text()).toMatchSnapshot();
  });

  // Guards against as many series as an operator's plan has customers.
  it("have a bounded number of labels", () => {
    const customers = Array.from(
      { length: 330 },
      (_, i) => status(`c${i}`, { oldestWaitMs: i }),
    );
    const samples = customerSamples([status("other"), ...customers]);
    const labels = new Set(samples.map(({ labels }) => labels["customer"]));
    expect(labels.size).toBe(MAX_CUSTOMER_LABELS + 1);
    const others = samples.filter(({ labels }) =>
      labels["customer"] === "other"
    );
    expect(others.map(({ name, value }) => [name, value])).toMatchSnapshot();
  });
});

it("a refusal may be repeated only for a queue that owns its directory", () => {
  const owner = queue();
  const withOther = (pathPrefix: string, host = owner.host): boolean =>
    ownsDirectory(
      planOf([], owner, queue({ name: "other", host, pathPrefix })),
      owner,
    );
  expect({
    alone: ownsDirectory(planOf([], owner), owner),
    directoryBelow: withOther("/reports/large/"),
    prefixBelow: withOther("/reports/x-"),
    prefixOfOtherHost: withOther("/reports/x-", "charts.example"),
    noDirectory: ownsDirectory(
      planOf([], queue({ pathPrefix: "/reports-" })),
      queue({ pathPrefix: "/reports-" }),
    ),
  }).toEqual({
    alone: true,
    directoryBelow: true,
    prefixBelow: false,
    prefixOfOtherHost: true,
    noDirectory: false,
  });
});

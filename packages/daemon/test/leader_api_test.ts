import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Err, type Fault, fault, Ok, type Result } from "@quetzalcove/core";
import {
  JobStore,
  type JobStoreCommand,
  type Worker,
} from "@quetzalcove/core/scheduling";
import {
  end,
  newJobStore,
  place,
  planOf,
  queue,
  run,
  spec,
  step,
  submit,
  worker,
} from "../../core/test/scheduling_fixture.ts";
import { LeaderApi, type LeaderApiParts } from "../src/scheduler/leader_api.ts";
import {
  consensusOf,
  ignore,
  memoryOf,
  QUIET_LOG,
  TEST_CLOCK,
} from "./scheduler_fixture.ts";

/** How long an entry node waits for the answer of one replica. */
const ENTRY_TIMEOUT_MS = 700;

const SUBMISSION = {
  host: "jobs.example",
  path: "/intake/0000000000000001",
  spec: spec(step()),
};

/** A leader API that accepts every job; `changes` replaces dependencies. */
function leaderApiOf(
  changes:
    & Pick<LeaderApiParts, "consensus">
    & Partial<LeaderApiParts>,
): LeaderApi {
  return new LeaderApi({
    clock: TEST_CLOCK,
    log: QUIET_LOG,
    onChange: ignore,
    onAccepted: ignore,
    accept: () => Ok.EMPTY,
    vacate: () => Promise.resolve(),
    memory: memoryOf(changes.consensus),
    ...changes,
  });
}

/** A leader API whose leadership confirmations are answered by `barrier`. */
function leaderApiWith(barrier: () => Promise<Result<void, Fault>>): {
  submit: () => Promise<Result<unknown, Fault>>;
  proposed: JobStoreCommand[];
} {
  const proposed: JobStoreCommand[] = [];
  const leaderApi = leaderApiOf({
    consensus: consensusOf(new JobStore(), {
      propose: (command) => {
        proposed.push(command);
        return Promise.resolve(Ok({ kind: "applied" as const }));
      },
      barrier,
    }),
  });
  const handler = leaderApi.handlers().get("submit_job");
  return {
    submit: () => handler?.(SUBMISSION) ?? Promise.reject(new Error("absent")),
    proposed,
  };
}

describe("a submission to a leader that lost its quorum", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it("is refused as not run while the entry node still waits, and is never proposed", async () => {
    let confirm: (result: Result<void, Fault>) => void = ignore;
    const { submit, proposed } = leaderApiWith(() =>
      new Promise((resolve) => {
        confirm = resolve;
      })
    );
    const answer = submit();
    await vi.advanceTimersByTimeAsync(ENTRY_TIMEOUT_MS);
    const settled = await Promise.race([answer, Promise.resolve(undefined)]);
    expect(settled?.err && settled.val).toMatchObject({
      kind: "no_leader",
      outcome: "not run",
    });
    // The quorum returns, too late for this submission.
    confirm(Ok.EMPTY);
    await vi.advanceTimersByTimeAsync(ENTRY_TIMEOUT_MS);
    expect(proposed).toEqual([]);
  });

  it("is refused as not run when leadership is lost before it is proposed", async () => {
    const { submit, proposed } = leaderApiWith(() =>
      Promise.resolve(Err(fault("no_leader", "Leadership was lost")))
    );
    const answer = await submit();
    expect(answer.err && answer.val.outcome).toBe("not run");
    expect(proposed).toEqual([]);
  });

  it("is refused with the name of the current leader", async () => {
    const { submit } = leaderApiWith(() =>
      Promise.resolve(Err(fault("not_leader", "Not here", { leader: "n2" })))
    );
    const answer = await submit();
    expect(answer.err && answer.val).toMatchObject({
      kind: "not_leader",
      leader: "n2",
      outcome: "not run",
    });
  });
});

// Guards against a job that is shown as failed after its first failed run: a queue that is removed between the check of a
// submission and its commit left it a policy of one attempt.
it("a job keeps the policy of its queue if the plan that is in force at its commit lacks the queue", async () => {
  const jobStore = newJobStore([worker("w1")]);
  const { propose } = consensusOf(jobStore);
  const leaderApi = leaderApiOf({
    consensus: consensusOf(jobStore, {
      propose: async (command) => {
        const plan = { ...planOf([]), version: 2, queues: [] };
        await propose({ kind: "plan", plan });
        return await propose(command);
      },
    }),
  });
  const { host, pathPrefix, maxAttempts } = queue();
  const submitted = await leaderApi.handlers().get("submit_job")?.(
    { host, path: `${pathPrefix}j`, spec: spec(step()) },
  );
  expect(submitted?.ok).toBe(true);
  expect(jobStore.jobs.get("j")?.terms).toMatchObject({ maxAttempts });
  place(jobStore, run("j.0.0.0", 1, "w1"));
  end(jobStore, run("j.0.0.0", 1, "w1"), "failed");
  expect(jobStore.jobs.get("j")?.outcome).toBe("open");
});

// Guards against jobs that end all replicas for lack of memory, and end them again whenever they apply their logs.
describe("jobs that the replicas cannot hold", () => {
  const LIMIT_BYTES = 1_000_000;
  const LARGE_TEXT = "x".repeat(10_000);

  function jobsOf(jobStore: JobStore): {
    submit: (id: string, text?: string, path?: string) => Promise<unknown>;
    accepted: () => string[];
  } {
    const consensus = consensusOf(jobStore);
    const handler = leaderApiOf({
      consensus,
      memory: memoryOf(consensus, LIMIT_BYTES),
    }).handlers().get("submit_job");
    return {
      submit: async (id, text = "", path = "/reports/") => {
        const submitted = await handler?.({
          host: "reports.example",
          path: path + id,
          spec: { ...spec(step()), text },
        });
        return submitted?.err ? submitted.val : "accepted";
      },
      accepted: () => [...jobStore.jobs.keys()],
    };
  }

  it("are refused for good if no job may be so large", async () => {
    const { submit, accepted } = jobsOf(newJobStore([]));
    expect(await submit("huge", "x".repeat(40_000))).toMatchInlineSnapshot(`
      {
        "kind": "too_large",
        "message": "Job takes 42 KB of memory in each replica; a job may take 32 KB",
        "outcome": "not run",
        "remedy": "Submit it as several jobs, or give the replicas a larger heap",
      }
    `);
    expect(accepted()).toEqual([]);
  });

  it("are refused as not run while others take the memory, whether these are stored or being stored", async () => {
    const jobStore = newJobStore([]);
    const { submit, accepted } = jobsOf(jobStore);
    const ids = Array.from({ length: 100 }, (_, i) => `j${i}`);
    const answers = await Promise.all(ids.map((id) => submit(id, LARGE_TEXT)));
    const refusals = answers.filter((answer) => answer !== "accepted");
    expect(refusals[0]).toMatchInlineSnapshot(`
      {
        "kind": "overloaded",
        "message": "Jobs of queue reports take 643 KB of memory in each replica, too much for one of 12 KB beside the 358 KB that are left for others",
        "outcome": "not run",
        "retryAfterMs": 30000,
      }
    `);
    expect(accepted()).toHaveLength(100 - refusals.length);
    expect(jobStore.memory.total).toBeLessThan(LIMIT_BYTES);
    jobStore.apply({ kind: "cancel", ids: accepted(), atMs: 0 });
    expect(await submit("later", LARGE_TEXT)).toBe("accepted");
  });

  // Guards against a caller that keeps all others out with jobs that never end.
  it("leave room for small jobs, and for jobs of other queues", async () => {
    const charts = queue({ name: "charts", pathPrefix: "/charts/" });
    const jobStore = newJobStore([], queue(), charts);
    const { submit } = jobsOf(jobStore);
    for (let i = 0; i < 100; i++) {
      await submit(`j${i}`, LARGE_TEXT);
    }
    expect(await submit("large", LARGE_TEXT)).not.toBe("accepted");
    expect(await submit("small")).toBe("accepted");
    expect(await submit("other", LARGE_TEXT, "/charts/")).toBe("accepted");
  });

  it("are refused if a gang has more tasks than one command places", async () => {
    const api = leaderApiOf({ consensus: consensusOf(newJobStore([])) });
    const submitted = await api.handlers().get("submit_job")?.({
      host: "reports.example",
      path: "/reports/j",
      spec: spec(step({ gang: true, taskCount: 10_001 })),
    });
    expect(submitted?.err && submitted.val).toMatchInlineSnapshot(`
      {
        "kind": "invalid",
        "message": "Job "j" has a gang of more than 10000",
        "outcome": "not run",
      }
    `);
  });
});

// Guards against a leader that has no time for anything but large submissions, which it refuses after it has read them.
it("a large submission is refused by its size, before it is sent, unless it is known", async () => {
  const jobStore = newJobStore([]);
  const consensus = consensusOf(jobStore);
  const handlers = leaderApiOf({
    consensus,
    memory: memoryOf(consensus, 1_000_000),
  }).handlers();
  const check = async (id: string, jobBytes: number): Promise<unknown> => {
    const checked = await handlers.get("check_submission")?.({
      host: "reports.example",
      path: `/reports/${id}`,
      jobBytes,
      bodyBytes: jobBytes,
    });
    return checked?.err ? checked.val.kind : "to be sent";
  };
  submit(jobStore, "known", spec(step()));
  expect(await check("small", 10_000)).toBe("to be sent");
  expect(await check("large", 40_000)).toBe("too_large");
  expect(await check("known", 40_000)).toBe("to be sent");
  for (let i = 0; i < 60; i++) {
    submit(jobStore, `j${i}`, { ...spec(step()), text: "x".repeat(10_000) });
  }
  expect(await check("other", 30_000)).toBe("overloaded");
});

// Guards against bodies that are accepted although the operators allow only smaller ones.
it("a submission with a larger body than the plan allows is refused as not run", async () => {
  const jobStore = newJobStore([]);
  const leaderApi = leaderApiOf({ consensus: consensusOf(jobStore) });
  const submitWith = async (bodyBytes: number): Promise<unknown> => {
    const submitted = await leaderApi.handlers().get("submit_job")?.({
      host: "reports.example",
      path: `/reports/${bodyBytes}`,
      spec: spec(step()),
      bodyBytes,
    });
    return submitted?.err ? submitted.val : "accepted";
  };
  expect(await submitWith(900_000)).toBe("accepted");
  const { plan } = jobStore;
  jobStore.apply({
    kind: "plan",
    plan: { ...plan, version: 2, maxBodyBytes: 1_000 },
  });
  expect(await submitWith(1_000)).toBe("accepted");
  expect(await submitWith(1_001)).toMatchInlineSnapshot(`
    {
      "kind": "too_large",
      "message": "Body has 1001 bytes; the operators' plan allows 1000",
      "outcome": "not run",
    }
  `);
});

// Guards against submissions that wait for one confirmation of the leader and then fill one log entry together.
it("large submissions of one turn get log entries of their own", async () => {
  const jobStore = newJobStore([]);
  const sizes: number[] = [];
  const leaderApi = leaderApiOf({
    consensus: consensusOf(jobStore, {
      propose: (command) => {
        sizes.push(command.kind === "submit" ? command.jobs.length : 0);
        return Promise.resolve(jobStore.apply(command));
      },
    }),
  });
  const handler = leaderApi.handlers().get("submit_job");
  const submitJob = (id: string, text: string): unknown =>
    handler?.({
      host: "reports.example",
      path: `/reports/${id}`,
      spec: { ...spec(step()), text },
    });
  await Promise.all([
    ...["a", "b", "c"].map((id) => submitJob(id, "x".repeat(40_000))),
    ...["d", "e", "f"].map((id) => submitJob(id, "small")),
  ]);
  expect(sizes).toEqual([1, 1, 4]);
});

describe("the reports of a worker", () => {
  const FULL = { cpuMilli: 4_000, memoryMb: 1_000, gpus: 0 };
  const SHRUNK = { cpuMilli: 1_000, memoryMb: 1_000, gpus: 0 };

  /** The worker in the job store after reports in this order. */
  async function workerAfter(
    ...reports: Partial<Worker>[]
  ): Promise<Worker | undefined> {
    const jobStore = newJobStore([]);
    const leaderApi = leaderApiOf({
      consensus: consensusOf(jobStore),
    });
    const report = leaderApi.handlers().get("report_worker");
    for (const changes of reports) {
      await report?.({ worker: worker("w1", changes) });
    }
    return jobStore.workers.get("w1");
  }

  // Guards against starts on a worker whose capacity shrank while it runs.
  it("change its capacity", async () => {
    const shrunk = await workerAfter(
      { reportNumber: 1, capacity: FULL },
      { reportNumber: 2, capacity: SHRUNK },
    );
    expect(shrunk?.capacity).toEqual(SHRUNK);
    const grown = await workerAfter(
      { reportNumber: 1, capacity: SHRUNK },
      { reportNumber: 2, capacity: FULL },
    );
    expect(grown?.capacity).toEqual(FULL);
  });

  it("do not change its capacity if they arrive after a later one", async () => {
    const found = await workerAfter(
      { reportNumber: 1, capacity: SHRUNK },
      { reportNumber: 3, capacity: SHRUNK },
      { reportNumber: 2, capacity: FULL },
    );
    expect(found?.capacity).toEqual(SHRUNK);
  });

  it("leave it draining once it has said so", async () => {
    const found = await workerAfter(
      { reportNumber: 1 },
      { reportNumber: 3, draining: true },
      { reportNumber: 4, draining: false, capacity: SHRUNK },
    );
    expect(found).toMatchObject({ draining: true, capacity: SHRUNK });
  });

  // Guards against a worker that is changed by a report of another writer under its id.
  it("change nothing if they name no pool of the plan", async () => {
    const found = await workerAfter(
      { reportNumber: 1 },
      { reportNumber: 2, pool: "nowhere", draining: true, capacity: SHRUNK },
    );
    expect(found).toMatchObject({ draining: false, capacity: FULL });
  });

  // Guards against a delayed report of an earlier life that undoes the worker's restart, and against first reports of the
  // new one that are taken for late because they are numbered from 1 again.
  it("count for the life that they name", async () => {
    const found = await workerAfter(
      { bornAtMs: 5, reportNumber: 400, draining: true, hasLeft: true },
      { bornAtMs: 9, reportNumber: 1, capacity: SHRUNK },
      { bornAtMs: 5, reportNumber: 401, draining: true },
      { bornAtMs: 9, reportNumber: 2, capacity: FULL },
    );
    expect(found).toMatchObject({
      bornAtMs: 9,
      draining: false,
      hasLeft: false,
      capacity: FULL,
    });
  });
});

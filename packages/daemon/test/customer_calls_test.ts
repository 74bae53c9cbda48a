import { beforeEach, describe, expect, it } from "vitest";
import { type Fault, Ok, type Result } from "@quetzalcove/core";
import {
  JobStore,
  type JobStoreCommand,
  type QueuePlan,
} from "@quetzalcove/core/scheduling";
import {
  customer,
  planOf,
  queue,
  spec,
  step,
} from "../../core/test/scheduling_fixture.ts";
import type { Log } from "../src/observe/log.ts";
import type { JobConsensus } from "../src/scheduler/job_state_machine.ts";
import { LeaderApi } from "../src/scheduler/leader_api.ts";
import type { CustomerMethod, Method } from "../src/scheduler/methods.ts";
import {
  consensusOf,
  ignore,
  memoryOf,
  TEST_CLOCK,
} from "./scheduler_fixture.ts";

const ACME_KEY = "a".repeat(64);
const BLUE_KEY = "b".repeat(64);
const UNKNOWN_KEY = "f".repeat(64);

const JOB = "0000000000000001";

const CLOSED = queue();
const OPEN = queue({
  name: "open",
  host: "open.example",
  pathPrefix: "/",
  allowsAnonymous: true,
});

const CUSTOMERS = planOf(
  [customer("acme", ACME_KEY), customer("blue", BLUE_KEY)],
  CLOSED,
  OPEN,
);

/** The API of a leader, with what it logs. */
class ApiFixture {
  readonly jobStore: JobStore;
  readonly logLines: string[] = [];
  readonly proposed: JobStoreCommand[] = [];
  /** Ids of the jobs whose arrival was reported. */
  readonly arrivals: string[] = [];
  readonly #api: LeaderApi;

  constructor(
    plan: QueuePlan | undefined = CUSTOMERS,
    jobStore = new JobStore(),
    changes: Partial<JobConsensus> = {},
  ) {
    this.jobStore = jobStore;
    const record = (event: string, fields = {}): void => {
      this.logLines.push(JSON.stringify({ event, ...fields }));
    };
    const log: Log = {
      debug: record,
      info: record,
      warn: record,
      error: record,
    };
    const consensus = consensusOf(jobStore, changes);
    this.#api = new LeaderApi({
      consensus: {
        ...consensus,
        propose: (command) => {
          this.proposed.push(command);
          return consensus.propose(command);
        },
      },
      clock: TEST_CLOCK,
      log,
      onChange: ignore,
      onAccepted: ({ id }) => this.arrivals.push(id),
      accept: () => Ok.EMPTY,
      vacate: () => Promise.resolve(),
      memory: memoryOf(consensus),
    });
    if (plan !== undefined) {
      jobStore.apply({ kind: "plan", plan });
    }
  }

  async request(method: Method, params: unknown): Promise<unknown> {
    const handler = this.#api.handlers().get(method);
    const result: Result<unknown, Fault> | undefined = await handler?.(params);
    return result?.val;
  }

  call(
    method: CustomerMethod,
    keyDigest?: string,
    called = CLOSED,
    id = JOB,
  ): Promise<unknown> {
    return this.request(method, {
      host: called.host,
      path: called.pathPrefix + id,
      keyDigest,
      ...method === "submit_job" && { spec: spec(step()) },
    });
  }
}

const METHODS = ["submit_job", "read_queue", "cancel_job"] as const;

/** A job store after a restart of its replica from a snapshot. */
function restarted(jobStore: JobStore): JobStore {
  return JobStore.decode(jobStore.encode());
}

describe("a customer's call at the leader", () => {
  let api: ApiFixture;

  beforeEach(() => {
    api = new ApiFixture();
  });

  // Guards against jobs of strangers, and against a refusal after which the job runs nevertheless.
  it.each(METHODS)(
    "%s is refused as not run without a valid key",
    async (m) => {
      const refused = { kind: "unauthenticated", outcome: "not run" };
      expect(await api.call(m)).toMatchObject(refused);
      expect(await api.call(m, UNKNOWN_KEY)).toMatchObject(refused);
      expect(await api.call(m, UNKNOWN_KEY, OPEN)).toMatchObject(refused);
      expect(api.proposed).toEqual([]);
      expect(api.jobStore.jobs.size).toBe(0);
    },
  );

  it("is allowed without a key on a queue that allows it, and the job has no owner", async () => {
    await api.call("submit_job", undefined, OPEN);
    expect(api.jobStore.jobs.get(JOB)?.customer).toBeUndefined();
    expect(await api.call("read_queue", undefined, OPEN))
      .toEqual({ kind: "job", state: "queued" });
    expect(await api.call("cancel_job", undefined, OPEN))
      .toEqual({ isKnown: true });
  });

  it("is not checked under a plan without customers, whatever its key", async () => {
    const unchecked = new ApiFixture(planOf([]));
    await unchecked.call("submit_job", UNKNOWN_KEY);
    expect(unchecked.jobStore.jobs.get(JOB)?.customer).toBeUndefined();
    expect(await unchecked.call("read_queue"))
      .toEqual({ kind: "job", state: "queued" });
    expect(await unchecked.call("cancel_job", UNKNOWN_KEY))
      .toEqual({ isKnown: true });
  });

  // Guards against jobs that nobody can reach after a plan without customers replaced one with customers.
  it("reaches a job with an owner once the plan has no customers", async () => {
    await api.call("submit_job", ACME_KEY);
    api.jobStore.apply({ kind: "plan", plan: { ...planOf([]), version: 2 } });
    expect(await api.call("read_queue"))
      .toEqual({ kind: "job", state: "queued" });
  });

  // Guards against a leader that decides on the plan from before its pause: the plan changes while it waits for a quorum.
  it.each(METHODS)(
    "%s is decided on the plan that is committed when leadership is confirmed",
    async (method) => {
      const confirmations: ((result: Result<void, Fault>) => void)[] = [];
      const paused = new ApiFixture(CUSTOMERS, new JobStore(), {
        barrier: () =>
          new Promise((resolve) => {
            confirmations.push(resolve);
          }),
      });
      const withdrawn = paused.call(method, ACME_KEY);
      const added = paused.call(method, UNKNOWN_KEY, CLOSED, "added");
      paused.jobStore.apply({
        kind: "plan",
        plan: { ...planOf([customer("acme", UNKNOWN_KEY)]), version: 2 },
      });
      confirmations.forEach((confirm) => confirm(Ok.EMPTY));
      expect(await withdrawn).toMatchObject({ kind: "unauthenticated" });
      expect(await added).not.toHaveProperty("outcome");
    },
  );
});

describe("a withdrawn key", () => {
  // Guards against a replica that serves an older version of the plan: after a restart from a snapshot, and when it
  // applies the older version again.
  it("stays refused after a restart, and after an older version arrives late", async () => {
    const before = new ApiFixture();
    await before.call("submit_job", ACME_KEY);
    const withdrawn = {
      ...planOf([customer("acme", BLUE_KEY)]),
      version: 2,
    };
    await before.request("replace_plan", { plan: withdrawn });
    const after = new ApiFixture(undefined, restarted(before.jobStore));
    await after.request("replace_plan", { plan: CUSTOMERS });
    after.jobStore.apply({ kind: "plan", plan: CUSTOMERS });
    for (const api of [before, after]) {
      expect(await api.call("read_queue", ACME_KEY))
        .toMatchObject({ kind: "unauthenticated" });
      expect(await api.call("read_queue", BLUE_KEY))
        .toEqual({ kind: "job", state: "queued" });
    }
  });
});

describe("a job of a customer", () => {
  let api: ApiFixture;

  beforeEach(async () => {
    api = new ApiFixture();
    await api.call("submit_job", ACME_KEY);
  });

  // Guards against reading and cancelling the jobs of others, also on another queue that allows anonymous calls.
  it.each(
    [
      ["another customer", BLUE_KEY, CLOSED],
      ["another customer", BLUE_KEY, OPEN],
      ["an anonymous caller", undefined, OPEN],
    ] as const,
  )("does not exist for %s", async (_, keyDigest, called) => {
    expect(await api.call("read_queue", keyDigest, called))
      .toEqual({ kind: "no_job" });
    expect(await api.call("cancel_job", keyDigest, called))
      .toEqual({ isKnown: false });
    expect(api.jobStore.jobs.get(JOB)?.outcome).toBe("open");
    expect(await api.call("read_queue", ACME_KEY))
      .toEqual({ kind: "job", state: "queued" });
  });

  // Guards against an answer "accepted" to a customer whose job is not stored.
  it("makes a submission of another customer under its id a conflict that has not run", async () => {
    expect(await api.call("submit_job", BLUE_KEY)).toMatchInlineSnapshot(`
      {
        "kind": "conflict",
        "message": "Job id "0000000000000001" is in use",
        "outcome": "not run",
      }
    `);
    expect(await api.call("submit_job", undefined, OPEN))
      .toMatchObject({ kind: "conflict", outcome: "not run" });
    expect(await api.call("submit_job", ACME_KEY)).toEqual({});
    expect(api.jobStore.jobs.get(JOB)?.customer).toBe("acme");
  });

  // Guards against the same when both submissions share one log entry.
  it("wins over a submission of another customer under its id at the same time", async () => {
    const answers = await Promise.all([
      api.call("submit_job", BLUE_KEY, CLOSED, "both"),
      api.call("submit_job", ACME_KEY, CLOSED, "both"),
    ]);
    expect(answers[1]).toMatchObject({ kind: "conflict", outcome: "not run" });
    expect(answers[0]).not.toHaveProperty("outcome");
    expect(api.jobStore.jobs.get("both")?.customer).toBe("blue");
    // Arrivals are counted to foresee demand.
    expect(api.arrivals).toEqual([JOB, "both"]);
  });

  // Guards against an owner that is lost with the leader: the next one starts from a snapshot.
  it("keeps its owner in a snapshot", async () => {
    const after = new ApiFixture(undefined, restarted(api.jobStore));
    expect(await after.call("read_queue", ACME_KEY))
      .toEqual({ kind: "job", state: "queued" });
    expect(await after.call("read_queue", BLUE_KEY))
      .toEqual({ kind: "no_job" });
  });
});

// Guards against secrets in logs and faults; a digest names a key, so it counts as one.
it("no call or plan leaves a key's digest in a fault, an answer or the log", async () => {
  const api = new ApiFixture();
  const answers: unknown[] = [];
  const callers = [ACME_KEY, BLUE_KEY, UNKNOWN_KEY, undefined];
  for (const method of METHODS) {
    for (const keyDigest of callers) {
      answers.push(await api.call(method, keyDigest));
      answers.push(await api.call(method, keyDigest, OPEN));
      answers.push(
        await api.call(method, keyDigest, { ...CLOSED, host: "none.example" }),
      );
    }
    answers.push(await api.request(method, { keyDigest: ACME_KEY }));
    answers.push(
      await api.request(method, { host: 1, path: 2, keyDigest: [ACME_KEY] }),
    );
  }
  const shared = [customer("acme", ACME_KEY), customer("blue", ACME_KEY)];
  for (const customers of [shared, [{ keyDigests: [[ACME_KEY]] }]]) {
    const plan = { ...planOf([]), customers, version: 3 };
    answers.push(await api.request("replace_plan", { plan }));
  }
  const text = JSON.stringify(answers) + api.logLines.join("\n");
  for (const key of [ACME_KEY, BLUE_KEY, UNKNOWN_KEY]) {
    expect(text).not.toContain(key);
  }
  expect(api.logLines).not.toEqual([]);
});

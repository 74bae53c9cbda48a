import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  type JobStore,
  type ListedEnd,
  type RunRecord,
  StartWindow,
  UnansweredStarts,
  WorkerHealth,
  WorkerSpeed,
  WorkEstimate,
} from "@quetzalcove/core/scheduling";
import {
  newJobStore,
  place,
  run,
  spec,
  step,
  submit,
  worker,
} from "../../core/test/scheduling_fixture.ts";
import { Metrics } from "../src/observe/metrics.ts";
import type {
  RenewalAnswer,
  StartOrder,
  WorkerClient,
  WorkerRenewal,
} from "../src/scheduler/platform_clients.ts";
import { RunEndBatcher } from "../src/scheduler/run_end_batcher.ts";
import { WorkerSession } from "../src/scheduler/worker_session.ts";
import {
  consensusOf,
  PLACEMENT_SETTINGS,
  QUIET_LOG,
  TEST_CLOCK,
  WORKER_SETTINGS,
} from "./scheduler_fixture.ts";

const LEASE_MS = 4_000;
const CALL_TIMEOUT_MS = 1_000;
const ORDER_TIMEOUT_MS = 300;

/** Times at which the worker answers orders again, in different phases of renewals and repeated orders. */
const TIMES = Array.from({ length: 20 }, (_, i) => 1_500 + 50 * i);

/** Longest time to give back a stopped run: a repeated order, the time that a stop takes, and a short renewal. */
const MAX_GIVE_BACK_MS = 700;

/** A worker that answers calls; while `isSilent`, they time out instead. */
class ScriptedWorker implements WorkerClient {
  isSilent = false;
  /** Whether the answer to the next renewal is lost. */
  losesNextAnswer = false;
  /** Whether orders get no answer and are not carried out, although renewals are answered. */
  losesOrders = false;
  /** Whether renewals take as long as they may wait, instead of 50 ms. */
  waitsForEnds = false;
  /** Time that the answers to starts take. */
  startAnswerMs = 1;
  readonly renewals: WorkerRenewal[] = [];
  readonly starts: StartOrder[] = [];
  readonly stops: string[] = [];
  /** Run ends that it lists. */
  ended: ListedEnd[] = [];
  unreadableRows = 0;

  start(_: unknown, order: StartOrder): ReturnType<WorkerClient["start"]> {
    if (this.losesOrders) {
      return this.#silence({ answer: "no_answer", clockMs: undefined });
    }
    this.starts.push(order);
    return this.#answerOr(
      { answer: "started", clockMs: undefined },
      { answer: "no_answer", clockMs: undefined },
      CALL_TIMEOUT_MS,
      this.startAnswerMs,
    );
  }

  stop(_: unknown, { task }: { task: string }): ReturnType<
    WorkerClient["stop"]
  > {
    if (this.losesOrders) {
      return this.#silence({ answer: false, clockMs: undefined });
    }
    this.stops.push(task);
    return this.#answerOr(
      { answer: true, clockMs: undefined },
      { answer: false, clockMs: undefined },
      CALL_TIMEOUT_MS,
    );
  }

  pace(): ReturnType<WorkerClient["pace"]> {
    return Promise.resolve({ answer: true, clockMs: undefined });
  }

  renew(_: unknown, renewal: WorkerRenewal): Promise<RenewalAnswer> {
    this.renewals.push(renewal);
    const silence: RenewalAnswer = { kind: "no_answer", reason: "silent" };
    const timeoutMs = renewal.timeoutMs + renewal.waitMs;
    if (this.losesNextAnswer) {
      this.losesNextAnswer = false;
      return new Promise((resolve) =>
        setTimeout(() => resolve(silence), timeoutMs)
      );
    }
    const answerMs = this.waitsForEnds ? Math.max(1, renewal.waitMs) : 50;
    return this.#answerOr(this.#listing(), silence, timeoutMs, answerMs);
  }

  disconnect(): void {}

  /** Lists the ended runs, and as running those that were started and have neither ended nor been stopped. */
  #listing(): RenewalAnswer {
    const hasEnded = (task: string): boolean =>
      this.stops.includes(task) ||
      this.ended.some((end) => end.task === task);
    const running = this.starts
      .filter(({ task }) => !hasEnded(task))
      .map(({ task, run: number }) => ({
        task,
        run: number,
        checkpoint: "",
        percent: 100,
        gauge: 0,
      }));
    return {
      kind: "listing",
      listing: {
        running,
        ended: this.ended,
        unreadableRows: this.unreadableRows,
        hasMoreEnds: false,
      },
      clockMs: 1_000_000 + Date.now(),
    };
  }

  async #silence<T>(silence: T): Promise<T> {
    await new Promise((resolve) => setTimeout(resolve, ORDER_TIMEOUT_MS));
    return silence;
  }

  async #answerOr<T>(
    answer: T,
    silence: T,
    timeoutMs: number,
    answerMs = 1,
  ): Promise<T> {
    const isSilent = this.isSilent;
    await new Promise((resolve) =>
      setTimeout(resolve, isSilent ? timeoutMs : answerMs)
    );
    return isSilent ? silence : answer;
  }
}

interface Fixture {
  session: WorkerSession;
  client: ScriptedWorker;
  jobStore: JobStore;
  unansweredStarts: UnansweredStarts;
  lostAt: () => number | undefined;
}

/** A session with a worker to which a run is placed; an earlier leader may have started it. */
function setUp({ isStarted = false } = {}): Fixture {
  const jobStore = newJobStore([worker("w1")]);
  submit(jobStore, "j", spec(step({ lasting: true })));
  place(jobStore, run("j.0.0.0", 1, "w1"));
  const client = new ScriptedWorker();
  if (isStarted) {
    client.starts.push({ task: "j.0.0.0", run: 1 } as StartOrder);
  }
  const unansweredStarts = new UnansweredStarts();
  let lostAt: number | undefined;
  const consensus = consensusOf(jobStore);
  const session = new WorkerSession(worker("w1"), {
    placement: PLACEMENT_SETTINGS,
    settings: {
      ...WORKER_SETTINGS,
      leaseMs: LEASE_MS,
      callTimeoutMs: CALL_TIMEOUT_MS,
    },
    term: 7,
    consensus,
    runEndBatcher: new RunEndBatcher({ consensus, clock: TEST_CLOCK }),
    client,
    clock: TEST_CLOCK,
    log: QUIET_LOG,
    metrics: new Metrics(),
    estimate: new WorkEstimate(),
    health: new WorkerHealth(),
    speed: new WorkerSpeed(),
    permit: () => undefined,
    measure: (_, run) => run(),
    isConfirmedLeader: () => true,
    unansweredStarts,
    startWindow: new StartWindow(),
    onBirth: () => {},
    onChange: () => {},
    onLost: () => lostAt = Date.now(),
  });
  void session.run();
  return { session, client, jobStore, unansweredStarts, lostAt: () => lostAt };
}

describe("a session with a worker", () => {
  let fixture: Fixture;

  beforeEach(() => {
    vi.useFakeTimers({ now: 0 });
    fixture = setUp();
  });

  afterEach(() => {
    fixture.session.stop();
    vi.useRealTimers();
  });

  it("does not extend the lease of a silent worker, and gives up its runs when the lease has ended", async () => {
    const { client } = fixture;
    await vi.advanceTimersByTimeAsync(500);
    client.isSilent = true;
    await vi.advanceTimersByTimeAsync(15_000);
    const lostAt = fixture.lostAt() ?? Infinity;
    // The last order that may have arrived was sent at 500 ms. The worker's clock runs at most 2 % slow, so the lease
    // ends by 500 + 4000 / 0.98 ms; the loss is reported when the call then in progress ends.
    expect(lostAt).toBeGreaterThan(500 + LEASE_MS / 0.98);
    expect(lostAt).toBeLessThan(
      500 + LEASE_MS / 0.98 + 2 * CALL_TIMEOUT_MS + 500,
    );
  });

  describe.each([
    // Guards against starts that are all sent again, since the worker gets more at once than it can answer in time.
    { name: "a limited number of starts", text: "", tasks: 100, limit: 32 },
    // Guards against heartbeats that wait behind starts, each of which carries the text of its job.
    {
      name: "few starts with a long text",
      text: "x".repeat(900_000),
      tasks: 10,
      limit: 2,
    },
  ])("that gets many runs", ({ name, text, tasks, limit }) => {
    it(`leaves ${name} to be answered at once`, async () => {
      const { client, jobStore, session } = fixture;
      await vi.advanceTimersByTimeAsync(100);
      const demand = { cpuMilli: 0, memoryMb: 0, gpus: 0 };
      submit(jobStore, "k", {
        ...spec(step({ taskCount: tasks, lasting: true, demand })),
        text,
      });
      place(
        jobStore,
        ...Array.from({ length: tasks }, (_, i) => run(`k.0.0.${i}`, 1, "w1")),
      );
      let unanswered = 0;
      let most = 0;
      const answer = client.start.bind(client);
      vi.spyOn(client, "start").mockImplementation(async (...order) => {
        unanswered += 1;
        most = Math.max(most, unanswered);
        const reply = await answer(...order);
        unanswered -= 1;
        return reply;
      });
      session.start([...jobStore.load("w1").runs.values()].slice(1));
      await vi.advanceTimersByTimeAsync(100);
      expect(most).toBe(limit);
      expect(client.starts).toHaveLength(tasks + 1);
    });
  });

  // Guards against a second run of a task: a worker whose announcement that it leaves gets no answer runs on for seconds.
  it("keeps the runs of a silent worker that has reported that it leaves until the lease has ended", async () => {
    const { client, session } = fixture;
    await vi.advanceTimersByTimeAsync(500);
    client.isSilent = true;
    session.worker = { ...session.worker, draining: true, hasLeft: true };
    await vi.advanceTimersByTimeAsync(15_000);
    const lostAt = fixture.lostAt() ?? Infinity;
    expect(lostAt).toBeGreaterThan(500 + LEASE_MS / 0.98);
    expect(lostAt).toBeLessThan(
      500 + LEASE_MS / 0.98 + 2 * CALL_TIMEOUT_MS + 500,
    );
  });

  it("stops the runs of a worker that has reported that it leaves, and treats it as lost at once when it is silent", async () => {
    const { client, session, jobStore } = fixture;
    await vi.advanceTimersByTimeAsync(500);
    session.worker = { ...session.worker, draining: true, hasLeft: true };
    session.sendDue();
    await vi.advanceTimersByTimeAsync(MAX_GIVE_BACK_MS);
    expect(client.stops).toEqual(["j.0.0.0"]);
    expect(jobStore.load("w1").runs.size).toBe(0);
    client.isSilent = true;
    const silentAt = Date.now();
    await vi.advanceTimersByTimeAsync(CALL_TIMEOUT_MS + 1_500 + 100);
    expect(fixture.lostAt()).toBeLessThan(
      silentAt + CALL_TIMEOUT_MS + 1_500 + 100,
    );
  });

  // Guards against starts that bring a worker over a capacity that shrank after they were placed.
  it("starts nothing more on a worker whose runs reserve more than its capacity", async () => {
    const { client, session, jobStore } = fixture;
    await vi.advanceTimersByTimeAsync(500);
    client.isSilent = true;
    submit(jobStore, "k", spec(step()));
    place(jobStore, run("k.0.0.0", 1, "w1"));
    session.start(
      [...jobStore.load("w1").runs.values()].filter(({ job }) => job === "k"),
    );
    await vi.advanceTimersByTimeAsync(CALL_TIMEOUT_MS + 50);
    session.worker = {
      ...session.worker,
      capacity: { cpuMilli: 1_000, memoryMb: 1_000, gpus: 0 },
    };
    // No start reached the worker.
    client.starts.length = 0;
    client.isSilent = false;
    await vi.advanceTimersByTimeAsync(2_000);
    session.sendDue();
    await vi.advanceTimersByTimeAsync(500);
    expect(client.starts.map(({ task }) => task)).not.toContain("k.0.0.0");
    expect(client.stops).toContain("k.0.0.0");
  });

  // Guards against runs that are placed on a crashed worker and wait there until it is known to be lost.
  it("gives a worker no new runs while it is silent", async () => {
    const { client, session } = fixture;
    await vi.advanceTimersByTimeAsync(500);
    expect(session.isUsable(Date.now())).toBe(true);
    client.isSilent = true;
    await vi.advanceTimersByTimeAsync(CALL_TIMEOUT_MS + 1_500);
    expect(session.isUsable(Date.now())).toBe(false);
    client.isSilent = false;
    await vi.advanceTimersByTimeAsync(CALL_TIMEOUT_MS + 500);
    expect(session.isUsable(Date.now())).toBe(true);
  });

  it("acknowledges run ends only once they are in the job store", async () => {
    const { client, jobStore } = fixture;
    await vi.advanceTimersByTimeAsync(500);
    client.ended = [{
      number: 4,
      task: "j.0.0.0",
      run: 1,
      how: "failed",
      checkpoint: "",
    }];
    const before = client.renewals.length;
    await vi.advanceTimersByTimeAsync(200);
    const first = client.renewals.slice(before).find(({ seenEnds }) =>
      seenEnds === 4
    );
    expect(first).toBeDefined();
    expect(jobStore.taskOf({ job: "j", round: 0, step: 0, index: 0 })?.failures)
      .toBe(1);
  });

  // Guards against a run that was done and runs again: the worker forgets all ends below the acknowledged one.
  it("acknowledges no end above one that could not be read", async () => {
    const { client } = fixture;
    await vi.advanceTimersByTimeAsync(500);
    const end = { task: "j.0.0.0", run: 1, how: "failed", checkpoint: "" };
    client.ended = [1, 3].map((number) => ({ number, ...end } as ListedEnd));
    client.unreadableRows = 1;
    await vi.advanceTimersByTimeAsync(1_000);
    expect(client.renewals.at(-1)?.seenEnds).toBe(1);
  });

  it("commits the end of a run within the duration of a task although an answer is lost", async () => {
    const { client, session, jobStore } = fixture;
    submit(jobStore, "k", spec(step()));
    const key = run("k.0.0.0", 1, "w1");
    place(jobStore, key);
    const placed = jobStore.findRun(key);
    session.start(placed === undefined ? [] : [placed]);
    await vi.advanceTimersByTimeAsync(500);
    client.losesNextAnswer = true;
    const { task } = key;
    client.ended = [{ number: 1, task, run: 1, how: "done", checkpoint: "" }];
    await vi.advanceTimersByTimeAsync(1_100);
    expect(jobStore.jobs.get("k")?.outcome).toBe("completed");
  });

  it("gives a worker that missed the deadline of a renewal more time for the next one", async () => {
    const { client } = fixture;
    await vi.advanceTimersByTimeAsync(500);
    client.losesNextAnswer = true;
    const before = client.renewals.length;
    await vi.advanceTimersByTimeAsync(3_000);
    expect(
      client.renewals.slice(before, before + 3).map((renewal) =>
        renewal.timeoutMs
      ),
    ).toEqual([400, CALL_TIMEOUT_MS, 400]);
  });

  it("starts nothing on a draining worker, and stops a run whose start was not answered", async () => {
    const { client, session, jobStore } = fixture;
    await vi.advanceTimersByTimeAsync(100);
    client.isSilent = true;
    submit(jobStore, "k", spec(step()));
    place(jobStore, run("k.0.0.0", 1, "w1"));
    const placed = jobStore.findRun(run("k.0.0.0", 1, "w1"));
    session.start(placed === undefined ? [] : [placed]);
    await vi.advanceTimersByTimeAsync(CALL_TIMEOUT_MS + 10);
    const starts = client.starts.length;
    session.worker = { ...session.worker, draining: true };
    await vi.advanceTimersByTimeAsync(300);
    session.sendDue();
    await vi.advanceTimersByTimeAsync(10);
    expect(client.starts).toHaveLength(starts);
    expect(client.stops).toContain("k.0.0.0");
  });

  // Guards against a new leader that stops all tasks of a draining worker at once, since each of them might not have started.
  it("stops nothing on a draining worker that an earlier leader had started there", async () => {
    fixture.session.stop();
    fixture = setUp({ isStarted: true });
    const { client, session, jobStore } = fixture;
    const [placed] = jobStore.load("w1").runs.values();
    session.worker = { ...session.worker, draining: true };
    session.sendDue();
    await vi.advanceTimersByTimeAsync(500);
    session.sendDue();
    await vi.advanceTimersByTimeAsync(500);
    expect(client.stops).toEqual([]);
    expect(placed && session.isReady(placed, Date.now())).toBe(true);
    if (placed !== undefined) {
      session.requestStop(placed);
      expect(session.isReady(placed, Date.now())).toBe(false);
    }
  });

  it("starts a run that an earlier leader placed, with the fencing token of this term", async () => {
    await vi.advanceTimersByTimeAsync(200);
    expect(fixture.client.starts).toMatchObject([
      { task: "j.0.0.0", run: 1, fence: 7 },
    ]);
  });

  describe("that answers renewals and no orders", () => {
    const key = run("k.0.0.0", 1, "w1");
    let placed: RunRecord;

    beforeEach(async () => {
      const { client, session, jobStore } = fixture;
      await vi.advanceTimersByTimeAsync(500);
      submit(jobStore, "k", spec(step()));
      place(jobStore, key);
      placed = jobStore.findRun(key)!;
      client.losesOrders = true;
      session.start([placed]);
    });

    /** Time until a condition holds, while orders are sent with each pass; Infinity if over 10 s. */
    async function timeUntil(isMet: () => boolean): Promise<number> {
      const since = Date.now();
      while (!isMet()) {
        if (Date.now() - since > 10_000) {
          return Infinity;
        }
        await vi.advanceTimersByTimeAsync(50);
        fixture.session.sendDue();
      }
      return Date.now() - since;
    }

    // Guards against ever more runs that wait behind orders without an answer.
    it("gets no new runs until it answers one", async () => {
      const { client, session } = fixture;
      await vi.advanceTimersByTimeAsync(ORDER_TIMEOUT_MS + 10);
      expect(session.isUsable(Date.now())).toBe(false);
      client.losesOrders = false;
      const tookMs = await timeUntil(() => session.isUsable(Date.now()));
      expect(tookMs).toBeLessThanOrEqual(ORDER_TIMEOUT_MS + 50);
    });

    it("gives back a run whose start was not sent", async () => {
      const { session, jobStore } = fixture;
      await vi.advanceTimersByTimeAsync(ORDER_TIMEOUT_MS + 10);
      submit(jobStore, "m", spec(step()));
      const unsent = run("m.0.0.0", 1, "w1");
      place(jobStore, unsent);
      session.start([jobStore.findRun(unsent)!]);
      await vi.advanceTimersByTimeAsync(50);
      expect(jobStore.findRun(unsent)).toBeUndefined();
      expect(jobStore.findRun(key)).toBe(placed);
    });

    // Guards against a run that is known not to run only after a renewal that waits for the end of another one.
    it.each(TIMES)(
      "gives back a stopped run soon if it answers again after %i ms",
      async (answersAt) => {
        const { client, session, jobStore } = fixture;
        client.waitsForEnds = true;
        await timeUntil(() => Date.now() >= 1_000);
        session.requestStop(placed);
        session.sendDue();
        await timeUntil(() => Date.now() >= answersAt);
        client.losesOrders = false;
        const tookMs = await timeUntil(() =>
          jobStore.findRun(key) === undefined
        );
        expect(tookMs).toBeLessThanOrEqual(MAX_GIVE_BACK_MS);
      },
    );
  });

  // Guards against a start that the next life of a worker answered, and that is taken for one of the earlier life.
  it("ignores the answer to a start once its worker is known to have restarted", async () => {
    const { client, session, jobStore, unansweredStarts } = fixture;
    await vi.advanceTimersByTimeAsync(500);
    expect(unansweredStarts.mayArrive("w1", Date.now())).toEqual([]);
    client.startAnswerMs = 200;
    submit(jobStore, "k", spec(step()));
    const key = run("k.0.0.0", 1, "w1");
    place(jobStore, key);
    const placed = jobStore.findRun(key);
    session.start(placed === undefined ? [] : [placed]);
    await vi.advanceTimersByTimeAsync(100);
    session.supersede();
    await vi.advanceTimersByTimeAsync(1_000);
    expect(unansweredStarts.mayArrive("w1", Date.now())).toEqual([key]);
  });

  it("counts a long-running task as ready only while its worker answers", async () => {
    const { client, session, jobStore } = fixture;
    await vi.advanceTimersByTimeAsync(500);
    const placed = jobStore.findRun(run("j.0.0.0", 1, "w1"));
    expect(placed && session.isReady(placed, Date.now())).toBe(true);
    client.isSilent = true;
    await vi.advanceTimersByTimeAsync(3_100);
    expect(placed && session.isReady(placed, Date.now())).toBe(false);
  });
});

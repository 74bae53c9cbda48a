import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  type JobBook,
  type ListedEnd,
  WorkerHealth,
  WorkEstimate,
} from "@quetzalcove/core/scheduling";
import {
  book,
  place,
  run,
  spec,
  step,
  submit,
  worker,
} from "../../core/test/scheduling_fixture.ts";
import { Metrics } from "../src/observe/metrics.ts";
import type {
  Renewal,
  RenewalAnswer,
  StartOrder,
  WorkerCalls,
} from "../src/scheduler/ports.ts";
import { RunEndBatcher } from "../src/scheduler/run_end_batcher.ts";
import { WorkerSession } from "../src/scheduler/worker_session.ts";
import {
  consensusOf,
  QUIET_LOG,
  TEST_CLOCK,
  WORKER_SETTINGS,
} from "./scheduler_fixture.ts";

const LEASE_MS = 4_000;
const CALL_MS = 1_000;

/** A worker that answers at once until it falls silent; then calls end at their deadline. */
class ScriptedWorker implements WorkerCalls {
  isSilent = false;
  readonly renewals: Renewal[] = [];
  readonly starts: StartOrder[] = [];
  readonly stops: string[] = [];
  /** Ends that it lists. */
  ended: ListedEnd[] = [];

  start(_: unknown, order: StartOrder): ReturnType<WorkerCalls["start"]> {
    this.starts.push(order);
    return this.#answerOr(
      { answer: "started", clockMs: undefined },
      { answer: "no_answer", clockMs: undefined },
      CALL_MS,
    );
  }

  stop(_: unknown, { task }: { task: string }): ReturnType<
    WorkerCalls["stop"]
  > {
    this.stops.push(task);
    return this.#answerOr(
      { answer: true, clockMs: undefined },
      { answer: false, clockMs: undefined },
      CALL_MS,
    );
  }

  pace(): ReturnType<WorkerCalls["pace"]> {
    return Promise.resolve({ answer: true, clockMs: undefined });
  }

  renew(_: unknown, renewal: Renewal): Promise<RenewalAnswer> {
    this.renewals.push(renewal);
    const silence: RenewalAnswer = { kind: "no_answer", reason: "silent" };
    return this.#answerOr(
      this.#listing(),
      silence,
      CALL_MS + renewal.waitMs,
      50,
    );
  }

  forget(): void {}

  /** Lists what was started and has not ended. */
  #listing(): RenewalAnswer {
    const isOver = (task: string): boolean =>
      this.stops.includes(task) ||
      this.ended.some((end) => end.task === task);
    const running = this.starts
      .filter(({ task }) => !isOver(task))
      .map(({ task, run: number }) => ({
        task,
        run: number,
        checkpoint: "",
        percent: 100,
        gauge: 0,
      }));
    return {
      kind: "listing",
      listing: { running, ended: this.ended },
      clockMs: 1_000_000 + Date.now(),
    };
  }

  async #answerOr<T>(
    answer: T,
    silence: T,
    limitMs: number,
    answerMs = 1,
  ): Promise<T> {
    const isSilent = this.isSilent;
    await new Promise((resolve) =>
      setTimeout(resolve, isSilent ? limitMs : answerMs)
    );
    return isSilent ? silence : answer;
  }
}

interface Scene {
  session: WorkerSession;
  calls: ScriptedWorker;
  jobs: JobBook;
  lostAt: () => number | undefined;
}

function open(): Scene {
  const jobs = book([worker("w1")]);
  submit(jobs, "j", spec(step({ lasting: true })));
  place(jobs, run("j.0.0.0", 1, "w1"));
  const calls = new ScriptedWorker();
  let lostAt: number | undefined;
  const consensus = consensusOf(jobs);
  const session = new WorkerSession(worker("w1"), {
    settings: { ...WORKER_SETTINGS, leaseMs: LEASE_MS, callTimeoutMs: CALL_MS },
    term: 7,
    consensus,
    runEndBatcher: new RunEndBatcher({ consensus, clock: TEST_CLOCK }),
    calls,
    clock: TEST_CLOCK,
    log: QUIET_LOG,
    metrics: new Metrics(),
    estimate: new WorkEstimate(),
    health: new WorkerHealth(),
    permit: () => undefined,
    isConfirmedLeader: () => true,
    onChange: () => {},
    onLost: () => lostAt = Date.now(),
  });
  void session.run();
  return { session, calls, jobs, lostAt: () => lostAt };
}

describe("a session with a worker", () => {
  let scene: Scene;

  beforeEach(() => {
    vi.useFakeTimers({ now: 0 });
    scene = open();
  });

  afterEach(() => {
    scene.session.stop();
    vi.useRealTimers();
  });

  it("asks a worker that fell silent for no longer lease, and frees its runs when the last one has ended", async () => {
    const { calls } = scene;
    await vi.advanceTimersByTimeAsync(500);
    calls.isSilent = true;
    await vi.advanceTimersByTimeAsync(15_000);
    const lostAt = scene.lostAt() ?? Infinity;
    // The last order that may have arrived left at 500 ms; its lease ends 2 % late at most, and then one call ends.
    expect(lostAt).toBeGreaterThan(500 + LEASE_MS / 0.98);
    expect(lostAt).toBeLessThan(500 + LEASE_MS / 0.98 + 2 * CALL_MS + 500);
  });

  it("takes a worker that said goodbye and answers no more for gone at once", async () => {
    const { calls, session } = scene;
    await vi.advanceTimersByTimeAsync(500);
    calls.isSilent = true;
    session.worker = { ...session.worker, draining: true, hasLeft: true };
    await vi.advanceTimersByTimeAsync(CALL_MS + 1_500 + 100);
    expect(scene.lostAt()).toBeLessThan(500 + CALL_MS + 1_500 + 100);
  });

  it("lets the worker forget ends only once they are in the book", async () => {
    const { calls, jobs } = scene;
    await vi.advanceTimersByTimeAsync(500);
    calls.ended = [{
      number: 4,
      task: "j.0.0.0",
      run: 1,
      how: "failed",
      checkpoint: "",
    }];
    const before = calls.renewals.length;
    await vi.advanceTimersByTimeAsync(200);
    const first = calls.renewals.slice(before).find(({ seenEnds }) =>
      seenEnds === 4
    );
    expect(first).toBeDefined();
    expect(jobs.taskOf({ job: "j", round: 0, step: 0, index: 0 })?.failures)
      .toBe(1);
  });

  it("starts nothing on a worker that leaves, and takes back what it did not answer", async () => {
    const { calls, session, jobs } = scene;
    await vi.advanceTimersByTimeAsync(100);
    calls.isSilent = true;
    submit(jobs, "k", spec(step()));
    place(jobs, run("k.0.0.0", 1, "w1"));
    const placed = jobs.findRun(run("k.0.0.0", 1, "w1"));
    session.start(placed === undefined ? [] : [placed]);
    await vi.advanceTimersByTimeAsync(CALL_MS + 10);
    const starts = calls.starts.length;
    session.worker = { ...session.worker, draining: true };
    await vi.advanceTimersByTimeAsync(300);
    session.sendDue();
    await vi.advanceTimersByTimeAsync(10);
    expect(calls.starts).toHaveLength(starts);
    expect(calls.stops).toContain("k.0.0.0");
  });

  it("starts a run that an earlier leader placed, with the fence of this term", async () => {
    await vi.advanceTimersByTimeAsync(200);
    expect(scene.calls.starts).toMatchObject([
      { task: "j.0.0.0", run: 1, fence: 7 },
    ]);
  });

  it("counts a task as at work only while its worker answers", async () => {
    const { calls, session, jobs } = scene;
    await vi.advanceTimersByTimeAsync(500);
    const placed = jobs.findRun(run("j.0.0.0", 1, "w1"));
    expect(placed && session.isReady(placed, Date.now())).toBe(true);
    calls.isSilent = true;
    await vi.advanceTimersByTimeAsync(3_100);
    expect(placed && session.isReady(placed, Date.now())).toBe(false);
  });
});

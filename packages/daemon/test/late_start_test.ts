import { afterEach, beforeEach, expect, it, vi } from "vitest";
import type {
  JobStore,
  ListedEnd,
  ListedRun,
} from "@quetzalcove/core/scheduling";
import {
  listing,
  newJobStore,
  spec,
  step,
  submit,
  worker,
} from "../../core/test/scheduling_fixture.ts";
import { LeadershipTerm } from "../src/scheduler/leadership_term.ts";
import type {
  CalledWorker,
  RenewalAnswer,
  RunOrder,
  StartOrder,
  WorkerClient,
  WorkerRenewal,
} from "../src/scheduler/platform_clients.ts";
import { consensusOf, termParts } from "./scheduler_fixture.ts";

const CALL_MS = 2;
const TIMEOUT_MS = 300;
const TASK_MS = 800;
const CUT_MS = 6_000;
/** The longest time after which the platform carries out an order. */
const LATE_MS = 12_000;

/** A worker that keeps its lease, and the runs that it was told to stop, while it is cut off. */
class CutWorker {
  isCut = false;
  /** Whether starts get no answer, and are carried out late. */
  isLate = false;
  readonly starts: string[] = [];
  #leaseEndsAt = 0;
  #endCount = 0;
  readonly #running = new Map<string, ListedRun>();
  readonly #ended: ListedEnd[] = [];
  /** Highest run of each task that was stopped or has ended. */
  readonly #lastRuns = new Map<string, number>();

  renew({ leaseDeadlineMs, seenEnds }: WorkerRenewal): RenewalAnswer {
    this.#extend(leaseDeadlineMs);
    return {
      kind: "listing",
      listing: listing({
        running: [...this.#running.values()],
        ended: this.#ended.filter(({ number }) => number > seenEnds),
      }),
      clockMs: Date.now(),
      bornAtMs: undefined,
    };
  }

  start({ task, run, leaseDeadlineMs }: StartOrder): void {
    this.#extend(leaseDeadlineMs);
    const isOld = run <= (this.#lastRuns.get(task) ?? 0);
    if (isOld || this.#running.has(task) || Date.now() > this.#leaseEndsAt) {
      return;
    }
    this.starts.push(`${task} ${run}`);
    this.#running.set(task, {
      task,
      run,
      checkpoint: "",
      percent: 0,
      gauge: 0,
    });
    setTimeout(() => this.#end(task, run, "done"), TASK_MS);
  }

  stop({ task, run }: RunOrder): void {
    this.#end(task, run, "stopped");
    this.#lastRuns.set(task, Math.max(run, this.#lastRuns.get(task) ?? 0));
  }

  #extend(deadlineMs = 0): void {
    this.#leaseEndsAt = Math.max(this.#leaseEndsAt, deadlineMs);
  }

  #end(task: string, run: number, how: ListedEnd["how"]): void {
    if (this.#running.get(task)?.run === run) {
      this.#running.delete(task);
      this.#lastRuns.set(task, run);
      this.#endCount += 1;
      this.#ended.push({
        number: this.#endCount,
        task,
        run,
        how,
        checkpoint: "",
      });
    }
  }
}

let workers: Map<string, CutWorker>;
let jobStore: JobStore;
let term: LeadershipTerm;

beforeEach(async () => {
  vi.useFakeTimers({ now: 1_000_000 });
  workers = new Map([["w1", new CutWorker()], ["w2", new CutWorker()]]);
  jobStore = newJobStore([worker("w1")]);
  term = new LeadershipTerm(
    termParts({ consensus: consensusOf(jobStore), client: client() }),
  );
  await term.start();
  await vi.advanceTimersByTimeAsync(500);
});

afterEach(async () => {
  await term.stop();
  vi.useRealTimers();
});

/** Calls a worker; undefined without an answer. */
async function call<T>(
  { id }: CalledWorker,
  carryOut: (called: CutWorker) => T,
): Promise<T | undefined> {
  await delay(CALL_MS);
  const called = workers.get(id);
  if (called === undefined || called.isCut) {
    await delay(TIMEOUT_MS);
    return undefined;
  }
  return carryOut(called);
}

function client(): WorkerClient {
  return {
    renew: async (called, renewal) => {
      // The lease is extended when the renewal arrives.
      await call(called, (each) => each.renew(renewal));
      await delay(renewal.waitMs);
      return await call(called, (each) => each.renew(renewal)) ??
        { kind: "no_answer", reason: "timeout" };
    },
    start: async (called, order) => {
      const isStarted = await call(called, (each) => {
        if (each.isLate) {
          setTimeout(() => each.start(order), LATE_MS);
          return false;
        }
        each.start(order);
        return true;
      });
      if (isStarted === false) {
        await delay(TIMEOUT_MS);
      }
      return isStarted
        ? { answer: "started", clockMs: Date.now() }
        : { answer: "no_answer", clockMs: undefined };
    },
    stop: async (called, order) => {
      const isStopped = await call(called, (each) => {
        each.stop(order);
        return true;
      });
      return { answer: isStopped === true, clockMs: undefined };
    },
    pace: () => Promise.resolve({ answer: true, clockMs: undefined }),
    disconnect: () => {},
  };
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function join(id: string): void {
  jobStore.apply({ kind: "join", workers: [worker(id)] });
}

// Guards against a task that runs again after it was done: a worker that was given up comes back in the same life, gets a
// lease, and carries out a start from before (review/7).
it("a worker that comes back does not carry out a start that was given up with it", async () => {
  const [w1, w2] = [...workers.values()];
  if (w1 === undefined || w2 === undefined) {
    throw new Error("no workers");
  }
  w1.isLate = true;
  submit(jobStore, "j", spec(step()));
  await vi.advanceTimersByTimeAsync(TIMEOUT_MS);
  w1.isCut = true;
  join("w2");
  await vi.advanceTimersByTimeAsync(CUT_MS);
  w1.isCut = false;
  w1.isLate = false;
  join("w1");
  await vi.advanceTimersByTimeAsync(LATE_MS);
  expect(w2.starts).toEqual(["j.0.0.0 2"]);
  expect(jobStore.jobs.get("j")?.outcome).toBe("completed");
  expect(w1.starts).toEqual([]);

  submit(jobStore, "next", spec(step({ taskCount: 2, maxPerWorker: 1 })));
  await vi.advanceTimersByTimeAsync(1_000);
  expect(w1.starts).toHaveLength(1);
});

it("a worker that comes back gets no lease before it has answered the stops of such starts", async () => {
  const w1 = workers.get("w1") ?? new CutWorker();
  w1.isLate = true;
  submit(jobStore, "j", spec(step()));
  await vi.advanceTimersByTimeAsync(TIMEOUT_MS);
  w1.isCut = true;
  join("w2");
  await vi.advanceTimersByTimeAsync(CUT_MS);
  const renew = vi.spyOn(w1, "renew");
  const stop = vi.spyOn(w1, "stop");
  w1.isCut = false;
  join("w1");
  await vi.advanceTimersByTimeAsync(1_000);
  const leasedAt = renew.mock.calls.findIndex(([{ leaseDeadlineMs }]) =>
    leaseDeadlineMs !== undefined
  );
  expect(stop).toHaveBeenCalledWith(
    expect.objectContaining({ task: "j.0.0.0", run: 1 }),
  );
  expect(renew.mock.invocationCallOrder[leasedAt])
    .toBeGreaterThan(stop.mock.invocationCallOrder[0] ?? Infinity);
});

import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  type JobStore,
  type ListedEnd,
  type RunOutcome,
  visibleState,
  type Worker,
} from "@quetzalcove/core/scheduling";
import {
  newJobStore,
  place,
  queue,
  run,
  spec,
  step,
  submit,
  worker,
} from "../../core/test/scheduling_fixture.ts";
import { LeadershipTerm } from "../src/scheduler/leadership_term.ts";
import type {
  RenewalAnswer,
  StartOrder,
  WorkerClient,
  WorkerRenewal,
} from "../src/scheduler/platform_clients.ts";
import { consensusOf, termParts } from "./scheduler_fixture.ts";

const TASKS = 600;
const PAGE = 100;

/** Time that a renewal takes: the pages of all ends take longer than the stop of a run. */
const RENEWAL_MS = 150;
const ORDER_MS = 10;

const demand = { cpuMilli: 1, memoryMb: 0, gpus: 0 };

beforeEach(() => {
  vi.useFakeTimers({ now: 0 });
});

afterEach(() => {
  vi.useRealTimers();
});

function task(index: number): string {
  return `j.0.0.${index}`;
}

/**
 * A worker that lists the ends of its runs in pages, those of the tasks that were placed first last, and refuses the start of a run
 * that has ended.
 */
class PagingWorker implements WorkerClient {
  readonly starts: StartOrder[] = [];
  /** Starts that it carried out, and whether the end of the earlier run of the task had been listed before. */
  readonly executed: { task: string; run: number; isListed: boolean }[] = [];
  readonly #born: number | undefined;
  readonly #highestRuns = new Map<string, number>();
  readonly #running = new Map<string, number>();
  readonly #endNumbers = new Map<string, number>();
  #ends: ListedEnd[] = [];
  #endCount = 0;
  /** Number of the last end that was listed. */
  #listed = 0;
  /** Number of runs that end between two renewals. */
  endsPerRenewal = 0;

  constructor(born?: number) {
    this.#born = born;
  }

  begin(index: number): void {
    this.#running.set(task(index), 1);
    this.#highestRuns.set(task(index), 1);
  }

  end(index: number, how: RunOutcome): void {
    const run = this.#running.get(task(index)) ?? 1;
    this.#running.delete(task(index));
    this.#highestRuns.set(task(index), run);
    this.#endCount += 1;
    this.#endNumbers.set(task(index), this.#endCount);
    this.#ends.push({
      number: this.#endCount,
      task: task(index),
      run,
      how,
      checkpoint: `after ${index}`,
    });
  }

  async start(
    _: unknown,
    order: StartOrder,
  ): ReturnType<WorkerClient["start"]> {
    await delay(ORDER_MS);
    const { task, run } = order;
    this.starts.push(order);
    const isKnown = run <= (this.#highestRuns.get(task) ?? 0);
    if (!isKnown) {
      const isListed = (this.#endNumbers.get(task) ?? 0) <= this.#listed;
      this.executed.push({ task, run, isListed });
      this.#highestRuns.set(task, run);
      this.#running.set(task, run);
    }
    const isRunning = this.#running.get(task) === run;
    return { answer: isRunning ? "started" : "superseded", clockMs: undefined };
  }

  async stop(
    _: unknown,
    { task, run }: { task: string; run: number },
  ): ReturnType<WorkerClient["stop"]> {
    await delay(ORDER_MS);
    const index = Number(task.split(".")[3]);
    if (this.#running.get(task) === run) {
      this.end(index, "stopped");
    }
    return { answer: true, clockMs: undefined };
  }

  pace(): ReturnType<WorkerClient["pace"]> {
    return Promise.resolve({ answer: true, clockMs: undefined });
  }

  async renew(
    _: unknown,
    { seenEnds }: WorkerRenewal,
  ): Promise<RenewalAnswer> {
    await delay(RENEWAL_MS / 2);
    const ending = [...this.#running.keys()].reverse()
      .slice(0, this.endsPerRenewal);
    ending.forEach((task) => this.end(Number(task.split(".")[3]), "done"));
    this.#ends = this.#ends.filter(({ number }) => number > seenEnds);
    const page = this.#ends.slice(0, PAGE);
    const answer: RenewalAnswer = {
      kind: "listing",
      listing: {
        running: Array.from(this.#running, ([task, run]) => ({
          task,
          run,
          checkpoint: "",
          percent: Math.min(99, Math.floor(Date.now() / 100)),
          gauge: 0,
        })),
        ended: page,
        unreadableRows: 0,
        hasMoreEnds: this.#ends.length >= PAGE,
      },
      clockMs: Date.now(),
      bornAtMs: this.#born,
    };
    await delay(RENEWAL_MS / 2);
    this.#listed = Math.max(this.#listed, page.at(-1)?.number ?? 0);
    return answer;
  }

  disconnect(): void {}
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** A store with a job of which all tasks are placed on one worker. */
function storeWith(on: Worker, maxAttempts = 3): JobStore {
  const jobStore = newJobStore([on], queue({ maxAttempts }));
  submit(jobStore, "j", spec(step({ taskCount: TASKS, demand })));
  place(
    jobStore,
    ...Array.from({ length: TASKS }, (_, i) => run(task(i), 1, on.id)),
  );
  return jobStore;
}

async function startTerm(
  jobStore: JobStore,
  client: WorkerClient,
  term = 7,
): Promise<LeadershipTerm> {
  const leader = new LeadershipTerm(
    termParts({ consensus: consensusOf(jobStore), client, term }),
  );
  await leader.start();
  return leader;
}

function stateOf(jobStore: JobStore): string | undefined {
  const job = jobStore.jobs.get("j");
  return job && visibleState(job);
}

describe("a worker with more ends than one listing holds", () => {
  // Guards against tasks that run again although they were done, since their end is on a later page (review/6).
  it("runs no task again that it lists as done on a later page to the next leader", async () => {
    const client = new PagingWorker();
    const jobStore = storeWith(worker("w1"));
    for (let i = 0; i < TASKS; i++) {
      client.end(TASKS - 1 - i, "done");
    }
    const leader = await startTerm(jobStore, client);
    await vi.advanceTimersByTimeAsync(5_000);
    expect(client.executed).toEqual([]);
    expect(stateOf(jobStore)).toBe("completed");
    // Nor are starts repeated of which the next pages tell that they were carried out.
    expect(client.starts).toEqual([]);
    await leader.stop();
  });

  // Guards against the same when a leader is lost between two pages.
  it("runs no task again when the leader is lost between two pages", async () => {
    const client = new PagingWorker();
    const jobStore = storeWith(worker("w1"));
    for (let i = 0; i < TASKS; i++) {
      client.end(TASKS - 1 - i, "done");
    }
    const first = await startTerm(jobStore, client);
    await vi.advanceTimersByTimeAsync(1.5 * RENEWAL_MS);
    await first.stop();
    const second = await startTerm(jobStore, client, 8);
    await vi.advanceTimersByTimeAsync(5_000);
    expect(client.executed).toEqual([]);
    expect(stateOf(jobStore)).toBe("completed");
    await second.stop();
  });

  // Guards against runs of the present leader that are stopped and dropped while their ends wait for earlier pages.
  it("runs no task again while runs end faster than pages are read", async () => {
    const client = new PagingWorker();
    const jobStore = storeWith(worker("w1"));
    for (let i = 0; i < TASKS; i++) {
      client.begin(i);
    }
    const leader = await startTerm(jobStore, client);
    await vi.advanceTimersByTimeAsync(1_000);
    client.endsPerRenewal = 400;
    await vi.advanceTimersByTimeAsync(5_000);
    expect(client.executed).toEqual([]);
    expect(stateOf(jobStore)).toBe("completed");
    await leader.stop();
  });

  // Guards against ends that are left out of the count of attempts, or whose checkpoint is lost.
  it.each(["failed", "alone", "broken", "lapsed", "stopped"] as const)(
    "runs a task again only after its end %s was listed, from the checkpoint of that end",
    async (how) => {
      const client = new PagingWorker();
      const jobStore = storeWith(worker("w1"));
      for (let i = 0; i < TASKS; i++) {
        client.end(TASKS - 1 - i, how);
      }
      const leader = await startTerm(jobStore, client);
      await vi.advanceTimersByTimeAsync(5_000);
      expect(client.executed.filter(({ isListed }) => !isListed))
        .toEqual([]);
      expect(client.executed.length).toBeGreaterThan(0);
      // The first task ended last.
      const position = { job: "j", round: 0, step: 0, index: 0 };
      expect(jobStore.taskOf(position)).toMatchObject({
        failures: how === "failed" ? 1 : 0,
      });
      expect(jobStore.checkpointOf(position)).toBe("after 0");
      await leader.stop();
    },
  );

  // Guards against runs that the next life of a worker carried out, and that are taken for ended with the earlier one.
  it("runs no task again that its next life lists as done on a later page", async () => {
    const earlier = worker("w1", { bornAtMs: 100 });
    const jobStore = storeWith(earlier);
    const client = new PagingWorker(200);
    for (let i = 0; i < TASKS; i++) {
      client.end(TASKS - 1 - i, "done");
    }
    const leader = await startTerm(jobStore, client);
    await vi.advanceTimersByTimeAsync(5_000);
    expect(client.executed).toEqual([]);
    expect(stateOf(jobStore)).toBe("completed");
    await leader.stop();
  });
});

describe("a worker that has not listed all of its ends", () => {
  // Guards against a step that is held back for good by a worker whose list never becomes shorter.
  it("gets new runs once it has", async () => {
    const client = new PagingWorker();
    const jobStore = storeWith(worker("w1"));
    for (let i = 0; i < TASKS; i++) {
      client.end(TASKS - 1 - i, "done");
    }
    const leader = await startTerm(jobStore, client);
    submit(jobStore, "k", spec(step({ demand })));
    await vi.advanceTimersByTimeAsync(2 * RENEWAL_MS);
    expect(client.starts).toEqual([]);
    await vi.advanceTimersByTimeAsync(2_000);
    expect(client.starts.map(({ task }) => task)).toEqual(["k.0.0.0"]);
    await leader.stop();
  });
});

import { describe, expect, it } from "vitest";
import {
  CandidateWorker,
  crashSuspects,
  type JobStore,
  type LostRun,
  parseTaskName,
  placeStep,
  PROBATION_MS,
  type RunEvidence,
} from "@quetzalcove/core/scheduling";
import {
  end,
  newJobStore,
  place,
  run,
  spec,
  step,
  submit,
  worker,
} from "./scheduling_fixture.ts";

function lost(
  index: number,
  evidence: Partial<RunEvidence>,
  wasSuspected = false,
): LostRun {
  const position = { job: "j", round: 0, step: 0, index };
  return {
    run: { ...position, task: `j.0.0.${index}`, run: 1, worker: "w1" },
    evidence: { start: "confirmed", survivedMs: 0, ...evidence },
    wasSuspected,
  };
}

function suspectedTasks(...runs: LostRun[]): string[] {
  return crashSuspects(runs, true).map(({ task }) => task);
}

/** Loses a worker on which these tasks started right before, and another one may have. */
function crash(
  store: JobStore,
  on: string,
  tasks: readonly string[],
  start: RunEvidence["start"] = "confirmed",
): void {
  const runs = [...store.load(on).runs.values()]
    .filter(({ task }) => tasks.includes(task))
    .map((record): LostRun => ({
      run: record,
      evidence: { start, survivedMs: 0 },
      wasSuspected: store.isSuspected(record),
    }));
  store.apply({
    kind: "lose",
    workers: [on],
    haveEnded: true,
    suspects: crashSuspects(runs, true),
    atMs: 1_000,
  });
}

/** Starts tasks on a new worker, which crashes with these suspects. */
function startAndCrash(
  store: JobStore,
  on: string,
  tasks: readonly string[],
  start: RunEvidence["start"] = "confirmed",
): void {
  store.apply({ kind: "join", workers: [worker(on)] });
  const runs = tasks.map((task) => {
    const number = store.taskOf(parseTaskName(task)!)?.run ?? 0;
    return run(task, number + 1, on);
  });
  place(store, ...runs);
  crash(store, on, tasks, start);
}

function outcomeOf(store: JobStore, job: string): string | undefined {
  return store.jobs.get(job)?.outcome;
}

describe("the suspects of a crash", () => {
  it("are the runs that started shortly before, or may have", () => {
    expect(suspectedTasks(
      lost(0, {}),
      lost(1, { start: "unanswered" }),
      lost(2, { start: "unsent" }),
      lost(3, { survivedMs: PROBATION_MS }),
      lost(4, { start: "unknown" }),
    )).toEqual(["j.0.0.0", "j.0.0.1"]);
  });

  it("are only those on probation, if there are any", () => {
    expect(suspectedTasks(lost(0, {}), lost(1, {}, true)))
      .toEqual(["j.0.0.1"]);
    expect(suspectedTasks(
      lost(0, {}),
      lost(1, { survivedMs: PROBATION_MS }, true),
      lost(2, { start: "unanswered" }, true),
    )).toEqual(["j.0.0.0", "j.0.0.2"]);
  });

  it("are none if all runs are known to have run for a while", () => {
    expect(suspectedTasks(lost(0, { survivedMs: 5_000 }))).toEqual([]);
  });
});

describe("a task that was on a worker when it crashed", () => {
  // Guards against tasks that are lost again and again because they are placed beside the one that crashes workers.
  it("is placed with its job alone on a worker, and no other job beside it", () => {
    const others = ["w2", "w3", "w4", "w5"].map((id) => worker(id));
    const store = newJobStore([worker("w1"), ...others]);
    const jobs = ["a", "b", "c"];
    jobs.forEach((job) => submit(store, job, spec(step({ taskCount: 2 }))));
    const tasks = jobs.flatMap((job) => [`${job}.0.0.0`, `${job}.0.0.1`]);
    place(store, ...tasks.map((task) => run(task, 1, "w1")));
    crash(store, "w1", tasks);
    submit(store, "new", spec(step()));
    const candidates = others.map((each) =>
      new CandidateWorker(each, store.load(each.id))
    );
    const placed = [...store.waiting.values()].flatMap((waiting) =>
      placeStep(waiting, candidates, 2_000)
    );
    // Two of the three jobs, on half of the workers, and the one that is not suspected.
    expect(placed.map(({ task, worker: on }) => `${task} on ${on}`)).toEqual([
      "a.0.0.0 on w2",
      "a.0.0.1 on w2",
      "b.0.0.0 on w3",
      "b.0.0.1 on w3",
      "new.0.0.0 on w4",
    ]);
  });

  it("is placed where the fewest runs would be lost with it", () => {
    const others = [worker("w2"), worker("w3")];
    const store = newJobStore([worker("w1"), ...others]);
    submit(store, "busy", spec(step()));
    place(store, run("busy.0.0.0", 1, "w2"));
    submit(store, "j", spec(step()));
    place(store, run("j.0.0.0", 1, "w1"));
    crash(store, "w1", ["j.0.0.0"]);
    const candidates = others.map((each) =>
      new CandidateWorker(each, store.load(each.id))
    );
    const waiting = store.waiting.get("j.0.0");
    expect(waiting && placeStep(waiting, candidates, 2_000))
      .toEqual([run("j.0.0.0", 2, "w3")]);
  });

  it("is placed on a worker whose runs would not be suspects, if there is one", () => {
    const others = [worker("w2"), worker("w3")];
    const store = newJobStore([worker("w1"), ...others]);
    submit(store, "busy", spec(step()));
    place(store, run("busy.0.0.0", 1, "w3"));
    submit(store, "j", spec(step()));
    place(store, run("j.0.0.0", 1, "w1"));
    crash(store, "w1", ["j.0.0.0"]);
    const candidates = others.map((each) =>
      new CandidateWorker(each, store.load(each.id), {
        isSettled: () => each.id === "w3",
      })
    );
    const waiting = store.waiting.get("j.0.0");
    expect(waiting && placeStep(waiting, candidates, 2_000))
      .toEqual([run("j.0.0.0", 2, "w3")]);
  });

  it("waits for a worker without a run on probation", () => {
    const store = newJobStore([worker("w1")]);
    submit(store, "j", spec(step()));
    const candidate = new CandidateWorker(worker("w1"), store.load("w1"), {
      jobOnProbation: "other",
    });
    const [waiting] = store.waiting.values();
    expect(waiting && placeStep(waiting, [candidate], 0)).toEqual([]);
  });

  it("is no suspect any more once it has run for a while", () => {
    const store = newJobStore([worker("w1"), worker("w2")]);
    submit(store, "j", spec(step()));
    startAndCrash(store, "w3", ["j.0.0.0"]);
    place(store, run("j.0.0.0", 2, "w2"));
    const [second] = store.load("w2").runs.values();
    store.apply({
      kind: "settle",
      ends: [],
      dropped: [],
      cleared: [run("j.0.0.0", 2, "w2")],
      atMs: 1_000,
    });
    expect(second && store.isSuspected(second)).toBe(false);
  });

  it("is no suspect any more once a worker reports that it failed", () => {
    const store = newJobStore([worker("w1"), worker("w2")]);
    submit(store, "j", spec(step()));
    place(store, run("j.0.0.0", 1, "w1"));
    crash(store, "w1", ["j.0.0.0"]);
    place(store, run("j.0.0.0", 2, "w2"));
    const [second] = store.load("w2").runs.values();
    expect(second && store.isSuspected(second)).toBe(true);
    end(store, run("j.0.0.0", 2, "w2"), "failed");
    expect(second && store.isSuspected(second)).toBe(false);
  });
});

describe("a job with a task under which workers crashed", () => {
  // Guards against a crash loop, and against failing the jobs of tasks that were only beside the cause.
  it("fails after two crashes on probation that no other job can have caused", () => {
    const store = newJobStore([]);
    submit(store, "j", spec(step({ taskCount: 2 })));
    submit(store, "other", spec(step()));
    startAndCrash(store, "w1", ["j.0.0.0", "j.0.0.1", "other.0.0.0"]);
    startAndCrash(store, "w2", ["j.0.0.0", "j.0.0.1"]);
    expect(outcomeOf(store, "j")).toBe("open");
    startAndCrash(store, "w3", ["j.0.0.0", "j.0.0.1"]);
    expect(outcomeOf(store, "j")).toBe("failed");
    expect(store.jobs.get("j")?.failure).toEqual({
      cause: "crashes",
      task: "j.0.0.0",
      count: 2,
    });
    expect(outcomeOf(store, "other")).toBe("open");
    expect([...store.waiting.keys()]).toEqual(["other.0.0"]);
  });

  // Guards against jobs shown as failed that can be done: the other job may be the cause.
  it("goes on while another job can have caused the crashes", () => {
    const store = newJobStore([]);
    ["j", "k"].forEach((job) => submit(store, job, spec(step())));
    for (const on of ["w1", "w2", "w3", "w4", "w5", "w6"]) {
      startAndCrash(store, on, ["j.0.0.0", "k.0.0.0"]);
    }
    expect([outcomeOf(store, "j"), outcomeOf(store, "k")])
      .toEqual(["open", "open"]);
  });

  it("goes on after two crashes on probation if its starts were not confirmed, up to three", () => {
    const store = newJobStore([]);
    submit(store, "j", spec(step()));
    for (const on of ["w1", "w2", "w3"]) {
      startAndCrash(store, on, ["j.0.0.0"], "unanswered");
    }
    expect(outcomeOf(store, "j")).toBe("open");
    startAndCrash(store, "w4", ["j.0.0.0"], "unanswered");
    expect(outcomeOf(store, "j")).toBe("failed");
  });

  // Guards against jobs shown as failed that can be done: a new leader does not know for how long they have run.
  it("goes on however many workers crash on which another leader started it", () => {
    const store = newJobStore([]);
    submit(store, "j", spec(step()));
    for (const on of ["w1", "w2", "w3", "w4", "w5", "w6"]) {
      startAndCrash(store, on, ["j.0.0.0"], "unknown");
    }
    expect(outcomeOf(store, "j")).toBe("open");
  });

  // Guards against the same where a run of another leader may have caused the crash.
  it("goes on while a run that another leader started can have caused the crashes", () => {
    const started = lost(0, {}, true);
    const unknown = lost(1, { start: "unknown" });
    unknown.run.job = "k";
    const [suspect] = crashSuspects([started, unknown], true);
    expect(suspect).toMatchObject({ task: "j.0.0.0", isAttributed: false });
  });

  // Guards against the same for a worker that was moved by an order or is only cut off.
  it("goes on if the workers may not have crashed", () => {
    const [suspect] = crashSuspects([lost(0, {}, true)], false);
    expect(suspect).toMatchObject({ isConfirmed: false, isAttributed: false });
  });

  // Guards against a long-running task that is not started again.
  it("goes on if it is long-running, however many workers crash", () => {
    const store = newJobStore([]);
    submit(store, "j", spec(step({ lasting: true })));
    for (const on of ["w1", "w2", "w3", "w4", "w5", "w6"]) {
      startAndCrash(store, on, ["j.0.0.0"]);
    }
    expect(outcomeOf(store, "j")).toBe("open");
  });

  it("stays cancelled if it was cancelled before the crash", () => {
    const store = newJobStore([worker("w2")]);
    submit(store, "j", spec(step()));
    startAndCrash(store, "w1", ["j.0.0.0"]);
    place(store, run("j.0.0.0", 2, "w2"));
    store.apply({ kind: "cancel", ids: ["j"], atMs: 900 });
    crash(store, "w2", ["j.0.0.0"]);
    expect(outcomeOf(store, "j")).toBe("cancelled");
  });
});

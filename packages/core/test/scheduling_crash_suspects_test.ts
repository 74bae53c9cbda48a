import { describe, expect, it } from "vitest";
import {
  CandidateWorker,
  crashSuspects,
  type JobStore,
  type LostRun,
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
  return crashSuspects(runs).map(({ task }) => task);
}

/** Loses worker w1 with runs of these tasks as suspects. */
function crash(store: JobStore, ...tasks: string[]): void {
  store.apply({
    kind: "lose",
    workers: ["w1"],
    haveEnded: true,
    suspects: tasks.map((task) => ({
      ...run(task, 1, "w1"),
      isConfirmed: true,
    })),
    atMs: 1_000,
  });
}

describe("the suspects of a crash", () => {
  it("are the runs that started shortly before, or may have", () => {
    expect(suspectedTasks(
      lost(0, {}),
      lost(1, { start: "unanswered" }),
      lost(2, { start: "unsent" }),
      lost(3, { survivedMs: PROBATION_MS }),
    )).toEqual(["j.0.0.0", "j.0.0.1"]);
  });

  it("are only those that were suspects before, if one of these was on probation", () => {
    expect(suspectedTasks(lost(0, {}), lost(1, {}, true)))
      .toEqual(["j.0.0.1"]);
    expect(suspectedTasks(
      lost(0, {}),
      lost(1, { survivedMs: PROBATION_MS }, true),
    )).toEqual(["j.0.0.0"]);
  });

  it("are none if all runs are known to have run for a while", () => {
    expect(suspectedTasks(lost(0, { survivedMs: 5_000 }))).toEqual([]);
  });
});

describe("a task that was on a worker when it crashed", () => {
  // Guards against tasks that are lost again and again because they are placed beside the one that crashes workers.
  it("is placed alone on a worker, and nothing else beside it", () => {
    const others = ["w2", "w3", "w4", "w5"].map((id) => worker(id));
    const store = newJobStore([worker("w1"), ...others]);
    submit(store, "j", spec(step({ taskCount: 4 })));
    place(
      store,
      ...[0, 1, 2, 3].map((index) => run(`j.0.0.${index}`, 1, "w1")),
    );
    crash(store, "j.0.0.0", "j.0.0.1", "j.0.0.2");
    const candidates = others.map((each) =>
      new CandidateWorker(each, store.load(each.id))
    );
    const [waiting] = store.waiting.values();
    const placed = waiting && placeStep(waiting, candidates, 2_000);
    // Two of the three suspects, on half of the workers, and the task that is not suspected.
    expect(placed?.map(({ task, worker: on }) => [task, on])).toEqual([
      ["j.0.0.0", "w2"],
      ["j.0.0.1", "w3"],
      ["j.0.0.3", "w4"],
    ]);
  });

  it("is placed where the fewest runs would be lost with it", () => {
    const others = [worker("w2"), worker("w3")];
    const store = newJobStore([worker("w1"), ...others]);
    submit(store, "busy", spec(step()));
    place(store, run("busy.0.0.0", 1, "w2"));
    submit(store, "j", spec(step()));
    place(store, run("j.0.0.0", 1, "w1"));
    crash(store, "j.0.0.0");
    const candidates = others.map((each) =>
      new CandidateWorker(each, store.load(each.id))
    );
    const waiting = store.waiting.get("j.0.0");
    expect(waiting && placeStep(waiting, candidates, 2_000))
      .toEqual([run("j.0.0.0", 2, "w3")]);
  });

  it("waits for a worker without a run on probation", () => {
    const store = newJobStore([worker("w1")]);
    submit(store, "j", spec(step()));
    const candidate = new CandidateWorker(worker("w1"), store.load("w1"), {
      hasRunOnProbation: true,
    });
    const [waiting] = store.waiting.values();
    expect(waiting && placeStep(waiting, [candidate], 0)).toEqual([]);
  });

  it("is no suspect any more once a worker reports that it failed", () => {
    const store = newJobStore([worker("w1"), worker("w2")]);
    submit(store, "j", spec(step()));
    place(store, run("j.0.0.0", 1, "w1"));
    crash(store, "j.0.0.0");
    place(store, run("j.0.0.0", 2, "w2"));
    const [second] = store.load("w2").runs.values();
    expect(second && store.isSuspected(second)).toBe(true);
    end(store, run("j.0.0.0", 2, "w2"), "failed");
    expect(second && store.isSuspected(second)).toBe(false);
  });
});

import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  IndexSet,
  IndicesPart,
  JobStore,
  StepTasks,
  visibleState,
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

describe("a set of indices", () => {
  it("has what a Set has after any sequence of changes, in ascending order", () => {
    const change = fc.tuple(fc.boolean(), fc.integer({ min: 0, max: 12 }));
    fc.assert(fc.property(fc.array(change), (changes) => {
      const indices = IndexSet.below(8);
      const expected = new Set([0, 1, 2, 3, 4, 5, 6, 7]);
      for (const [isAdded, index] of changes) {
        expect(isAdded ? indices.add(index) : indices.delete(index))
          .toBe(isAdded ? !expected.has(index) : expected.has(index));
        isAdded ? expected.add(index) : expected.delete(index);
      }
      const sorted = [...expected].sort((a, b) => a - b);
      expect([...indices]).toEqual(sorted);
      expect(indices.size).toBe(expected.size);
      for (let index = 0; index <= 13; index++) {
        expect(indices.has(index)).toBe(expected.has(index));
      }
      expect([...new IndexSet(indices.toJSON())]).toEqual(sorted);
    }));
  });

  it("keeps neighbouring indices as one range", () => {
    const indices = IndexSet.below(5_000_000_000);
    indices.delete(0);
    indices.delete(7);
    expect(indices.toJSON()).toEqual([1, 7, 8, 5_000_000_000]);
    indices.add(7);
    indices.add(0);
    expect(indices.toJSON()).toEqual([0, 5_000_000_000]);
  });

  it("has parts that are read without a copy of it", () => {
    const even = new IndicesPart(
      IndexSet.below(5_000_000_000),
      { from: 2, size: 3 },
      (index) => index % 2 === 0,
    );
    expect([...even]).toEqual([4, 6, 8]);
    expect([2, 4, 5, 8, 10].map((index) => even.has(index)))
      .toEqual([false, true, false, true, false]);
  });
});

// Guards against jobs whose number of tasks decides about the memory and the time of all replicas (review/5): a list of
// so many tasks can't even be allocated.
describe("a job of five billion tasks", () => {
  const TASKS = 5_000_000_000;

  it("is stored, run, restored and cancelled like any other", () => {
    const store = newJobStore([worker("w1")]);
    submit(store, "j", spec(step({ taskCount: TASKS })));
    place(store, run("j.0.0.0", 1, "w1"), run("j.0.0.1", 1, "w1"));
    end(store, run("j.0.0.0", 1, "w1"), "done");
    end(store, run("j.0.0.1", 1, "w1"), "stopped", "half");
    place(store, run("j.0.0.2", 1, "w1"));
    const restored = JobStore.decode(store.encode());
    for (const each of [store, restored]) {
      expect(each.waiting.get("j.0.0")?.indices.size).toBe(TASKS - 2);
      expect([...each.load("w1").runs.keys()]).toEqual(["j.0.0.2"]);
      each.apply({ kind: "cancel", ids: ["j"], atMs: 1 });
      expect(each.waiting.size).toBe(0);
      expect([...each.runsToStop].map(({ task }) => task)).toEqual(["j.0.0.2"]);
      end(each, run("j.0.0.2", 1, "w1"), "stopped");
      expect(each.jobs.get("j")?.rounds).toEqual({});
    }
    expect(store.encode().length).toBeLessThan(2_000);
  });

  it("is decoded from the list of tasks that an earlier version stored", () => {
    const stored = StepTasks.restore([
      { run: 2, failures: 0, isDone: true, checkpoint: "", worker: undefined },
      { run: 1, failures: 0, isDone: false, checkpoint: "", worker: "w1" },
      {
        run: 3,
        failures: 1,
        lastFailure: { run: 3, worker: "w2", atMs: 5 },
        isDone: false,
        checkpoint: "half",
        worker: undefined,
      },
      { run: 0, failures: 0, isDone: false, checkpoint: "", worker: undefined },
    ]);
    expect(JSON.parse(JSON.stringify(stored))).toMatchInlineSnapshot(`
      {
        "count": 4,
        "done": [
          0,
          1,
        ],
        "failures": 1,
        "lastFailedRun": 3,
        "tasks": [
          [
            1,
            {
              "checkpoint": "",
              "failures": 0,
              "isDone": false,
              "run": 1,
              "worker": "w1",
            },
          ],
          [
            2,
            {
              "checkpoint": "half",
              "failures": 1,
              "isDone": false,
              "lastFailure": {
                "atMs": 5,
                "run": 3,
                "worker": "w2",
              },
              "run": 3,
            },
          ],
        ],
      }
    `);
    expect([...stored.waiting]).toEqual([2, 3]);
  });
});

// Guards against replicas that keep the tasks of each round of a repeated job until its last one.
it("a repeated job keeps nothing of a finished round whose runs have ended", () => {
  const store = newJobStore([worker("w1")]);
  submit(store, "j", {
    ...spec(step({ gang: true, taskCount: 2 })),
    repeat: { count: 3, startAtMs: 0, intervalMs: 0 },
  });
  store.apply({ kind: "open", rounds: [{ job: "j", round: 0 }] });
  store.apply({ kind: "open", rounds: [{ job: "j", round: 1 }] });
  place(store, run("j.0.0.0", 1, "w1"), run("j.0.0.1", 1, "w1"));
  end(store, run("j.0.0.0", 1, "w1"), "done");
  expect(Object.keys(store.jobs.get("j")?.rounds ?? {})).toEqual(["0", "1"]);
  end(store, run("j.0.0.1", 1, "w1"), "stopped");
  expect(Object.keys(store.jobs.get("j")?.rounds ?? {})).toEqual(["1"]);
  expect(visibleState(store.jobs.get("j")!)).toBe("running");
});

it("the members of a gang resume from the latest checkpoint of any of them", () => {
  const store = newJobStore([worker("w1")]);
  submit(store, "j", spec(step({ gang: true, taskCount: 2 })));
  place(store, run("j.0.0.0", 1, "w1"), run("j.0.0.1", 1, "w1"));
  end(store, run("j.0.0.0", 1, "w1"), "stopped", "first");
  end(store, run("j.0.0.1", 1, "w1"), "stopped", "second");
  for (const each of [store, JobStore.decode(store.encode())]) {
    expect(
      [0, 1].map((index) =>
        each.checkpointOf({ job: "j", round: 0, step: 0, index })
      ),
    ).toEqual(["second", "second"]);
  }
});

import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  JobStore,
  type JobStoreCommand,
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

function stateOf(target: JobStore, id: string): string | undefined {
  const job = target.jobs.get(id);
  return job && visibleState(job);
}

describe("a job in the store", () => {
  it("is stored once when submitted repeatedly", () => {
    const jobs = newJobStore([worker("w1")]);
    submit(jobs, "j", spec(step()));
    place(jobs, run("j.0.0.0", 1, "w1"));
    submit(jobs, "j", spec(step({ taskCount: 5 })));
    expect(jobs.jobs.get("j")?.rounds[0]?.tasks[0]).toHaveLength(1);
    expect(stateOf(jobs, "j")).toBe("running");
  });

  it("lists a step as waiting only when the steps it depends on are done", () => {
    const jobs = newJobStore([worker("w1")]);
    submit(jobs, "j", spec(step({ taskCount: 2 }), step({ dependsOn: [0] })));
    expect([...jobs.waiting.keys()]).toEqual(["j.0.0"]);
    place(jobs, run("j.0.0.0", 1, "w1"), run("j.0.0.1", 1, "w1"));
    end(jobs, run("j.0.0.0", 1, "w1"), "done");
    expect([...jobs.waiting.keys()]).toEqual([]);
    end(jobs, run("j.0.0.1", 1, "w1"), "done");
    expect([...jobs.waiting.keys()]).toEqual(["j.0.1"]);
  });

  it("is completed once all tasks are done, and keeps only its outcome", () => {
    const jobs = newJobStore([worker("w1")]);
    submit(jobs, "j", spec(step()));
    place(jobs, run("j.0.0.0", 1, "w1"));
    end(jobs, run("j.0.0.0", 1, "w1"), "done");
    expect(stateOf(jobs, "j")).toBe("completed");
    expect(jobs.jobs.get("j")?.spec).toBeUndefined();
    expect(jobs.load("w1").reserved.cpuMilli).toBe(0);
  });

  it("fails after the maximum number of attempts, counting only failed runs", () => {
    const jobs = newJobStore([worker("w1")]);
    submit(jobs, "j", spec(step()));
    let number = 0;
    for (const how of ["stopped", "lapsed", "failed"] as const) {
      number += 1;
      place(jobs, run("j.0.0.0", number, "w1"));
      end(jobs, run("j.0.0.0", number, "w1"), how);
      expect(stateOf(jobs, "j")).toBe("running");
    }
    place(jobs, run("j.0.0.0", 4, "w1"));
    end(jobs, run("j.0.0.0", 4, "w1"), "failed");
    expect(stateOf(jobs, "j")).toBe("failed");
    expect(jobs.waiting.size).toBe(0);
  });

  it("restarts a long-running task regardless of failures", () => {
    const jobs = newJobStore([worker("w1")]);
    submit(jobs, "j", spec(step({ lasting: true })));
    for (let number = 1; number <= 5; number++) {
      place(jobs, run("j.0.0.0", number, "w1"));
      end(jobs, run("j.0.0.0", number, "w1"), "failed");
    }
    expect(stateOf(jobs, "j")).toBe("running");
    expect(jobs.waiting.has("j.0.0")).toBe(true);
  });

  it("keeps the reservations of a cancelled job's runs until they have ended", () => {
    const jobs = newJobStore([worker("w1")]);
    submit(jobs, "j", spec(step()));
    place(jobs, run("j.0.0.0", 1, "w1"));
    jobs.apply({ kind: "cancel", ids: ["j"], atMs: 1 });
    expect(stateOf(jobs, "j")).toBe("cancelled");
    expect(jobs.load("w1").reserved.cpuMilli).toBe(1_000);
    expect([...jobs.runsToStop].map(({ task }) => task)).toEqual(["j.0.0.0"]);
    end(jobs, run("j.0.0.0", 1, "w1"), "stopped");
    expect(jobs.load("w1").reserved.cpuMilli).toBe(0);
    expect(jobs.runsToStop.size).toBe(0);
  });

  it("stays cancelled when one of its active runs is done", () => {
    const jobs = newJobStore([worker("w1")]);
    submit(jobs, "j", spec(step()));
    place(jobs, run("j.0.0.0", 1, "w1"));
    jobs.apply({ kind: "cancel", ids: ["j"], atMs: 1 });
    end(jobs, run("j.0.0.0", 1, "w1"), "done");
    expect(stateOf(jobs, "j")).toBe("cancelled");
  });

  it("places no run number twice and no task that has an active run", () => {
    const jobs = newJobStore([worker("w1"), worker("w2")]);
    submit(jobs, "j", spec(step()));
    place(jobs, run("j.0.0.0", 1, "w1"), run("j.0.0.0", 2, "w2"));
    expect(jobs.load("w2").runs.size).toBe(0);
    end(jobs, run("j.0.0.0", 1, "w1"), "stopped");
    place(jobs, run("j.0.0.0", 1, "w2"));
    expect(jobs.load("w2").runs.size).toBe(0);
  });

  it("accepts completion by a run on a lost worker, and stops the run that replaced it", () => {
    const jobs = newJobStore([worker("w1"), worker("w2")]);
    submit(jobs, "j", spec(step({ taskCount: 2 })));
    place(jobs, run("j.0.0.0", 1, "w1"));
    jobs.apply({ kind: "lose", workers: ["w1"], haveEnded: false, atMs: 5 });
    place(jobs, run("j.0.0.0", 2, "w2"));
    end(jobs, run("j.0.0.0", 1, "w1"), "done");
    expect(jobs.taskOf({ job: "j", round: 0, step: 0, index: 0 })?.isDone)
      .toBe(true);
    expect([...jobs.runsToStop].map(({ run: number }) => number)).toEqual([2]);
  });

  it("lists no task completed on a lost worker as waiting, and ignores ends of runs that were never placed", () => {
    const jobs = newJobStore([worker("w1")]);
    submit(jobs, "j", spec(step({ taskCount: 2 })));
    place(jobs, run("j.0.0.0", 1, "w1"));
    jobs.apply({ kind: "lose", workers: ["w1"], haveEnded: false, atMs: 5 });
    end(jobs, run("j.0.0.0", 1, "w1"), "done");
    end(jobs, run("j.0.0.1", 1, "w1"), "done");
    expect([...jobs.waiting.get("j.0.0")?.indices ?? []]).toEqual([1]);
  });

  it("resumes from the latest checkpoint", () => {
    const jobs = newJobStore([worker("w1")]);
    submit(jobs, "j", spec(step({ checkpoints: true })));
    place(jobs, run("j.0.0.0", 1, "w1"));
    end(jobs, run("j.0.0.0", 1, "w1"), "stopped", "half");
    place(jobs, run("j.0.0.0", 2, "w1"));
    end(jobs, run("j.0.0.0", 2, "w1"), "stopped");
    const task = jobs.taskOf({ job: "j", round: 0, step: 0, index: 0 });
    expect(task?.checkpoint).toBe("half");
  });

  it("completes a gang with its first completed member, and adds up the members' failures", () => {
    const jobs = newJobStore([worker("w1")]);
    submit(jobs, "done", spec(step({ gang: true, taskCount: 2 })));
    place(jobs, run("done.0.0.0", 1, "w1"), run("done.0.0.1", 1, "w1"));
    end(jobs, run("done.0.0.1", 1, "w1"), "done");
    expect(stateOf(jobs, "done")).toBe("completed");
    submit(jobs, "fails", spec(step({ gang: true, taskCount: 2 })));
    place(jobs, run("fails.0.0.0", 1, "w1"), run("fails.0.0.1", 1, "w1"));
    end(jobs, run("fails.0.0.0", 1, "w1"), "failed");
    end(jobs, run("fails.0.0.1", 1, "w1"), "broken");
    place(jobs, run("fails.0.0.0", 2, "w1"), run("fails.0.0.1", 2, "w1"));
    end(jobs, run("fails.0.0.1", 2, "w1"), "failed");
    expect(stateOf(jobs, "fails")).toBe("failed");
  });

  it("runs as many rounds as its repetition has", () => {
    const jobs = newJobStore([worker("w1")]);
    submit(jobs, "j", {
      ...spec(step()),
      repeat: { count: 2, startAtMs: 100, intervalMs: 50 },
    });
    expect(jobs.waiting.size).toBe(0);
    jobs.apply({ kind: "open", rounds: [{ job: "j", round: 0 }] });
    jobs.apply({ kind: "open", rounds: [{ job: "j", round: 0 }] });
    place(jobs, run("j.0.0.0", 1, "w1"));
    end(jobs, run("j.0.0.0", 1, "w1"), "done");
    expect(stateOf(jobs, "j")).toBe("running");
    jobs.apply({ kind: "open", rounds: [{ job: "j", round: 1 }] });
    place(jobs, run("j.1.0.0", 1, "w1"));
    end(jobs, run("j.1.0.0", 1, "w1"), "done");
    expect(stateOf(jobs, "j")).toBe("completed");
  });

  it("ignores a stale report of an ended worker, and lets a worker that was only silent rejoin", () => {
    const jobs = newJobStore([worker("w1"), worker("w2")]);
    const lose = (id: string, haveEnded: boolean): void => {
      jobs.apply({ kind: "lose", workers: [id], haveEnded, atMs: 1 });
    };
    lose("w1", true);
    lose("w2", false);
    const restored = JobStore.decode(jobs.encode());
    for (const each of [jobs, restored]) {
      each.apply({ kind: "join", workers: [worker("w1"), worker("w2")] });
      expect([...each.workers.keys()]).toEqual(["w2"]);
    }
  });

  it("counts as pending until its first run is placed or it is cancelled", () => {
    const jobs = newJobStore([worker("w1")]);
    ["a", "b", "c"].forEach((id) => submit(jobs, id, spec(step())));
    place(jobs, run("a.0.0.0", 1, "w1"));
    jobs.apply({ kind: "cancel", ids: ["b"], atMs: 1 });
    expect(jobs.pendingJobs("reports")).toBe(1);
  });
});

describe("the queue plan", () => {
  it("keeps the highest version regardless of the order of arrival", () => {
    const jobs = newJobStore([]);
    const { plan } = jobs;
    jobs.apply({ kind: "plan", plan: { ...plan, version: 9 } });
    jobs.apply({ kind: "plan", plan: { ...plan, version: 4, queues: [] } });
    expect(jobs.plan.version).toBe(9);
    expect(jobs.plan.queues).toHaveLength(1);
  });
});

describe("a maintenance wave", () => {
  it("counts a VM as down from the time its order is recorded until its maintenance is refused or done", () => {
    const jobs = newJobStore([worker("w1")]);
    const wave = {
      id: 3,
      vms: ["a", "b"],
      durationMs: 10,
      maxDown: 1,
      startedAtMs: 0,
    };
    jobs.apply({ kind: "wave", wave });
    const note = (
      vm: string,
      phase: "begun" | "refused" | "done" | "gone",
    ): void => {
      jobs.apply({ kind: "upkeep", wave: 3, vm, phase, worker: "w1" });
    };
    note("a", "begun");
    expect(jobs.waves.get(3)?.down).toEqual([{ vm: "a", worker: "w1" }]);
    note("a", "refused");
    expect(jobs.waves.get(3)).toMatchObject({ down: [], done: [] });
    note("a", "begun");
    note("a", "done");
    note("a", "begun");
    note("b", "gone");
    expect(jobs.waves.get(3)).toMatchObject({ down: [], done: ["a", "b"] });
  });
});

/** Commands on two jobs of three tasks and two workers, valid or not. */
const command: fc.Arbitrary<JobStoreCommand> = fc.oneof(
  fc.record({
    kind: fc.constant("submit" as const),
    jobs: fc.constantFrom("a", "b").map((id) => [{
      id,
      queue: "reports",
      pool: "intake",
      spec: spec(
        step({ taskCount: 2, gang: id === "b" }),
        step({ dependsOn: [0] }),
      ),
    }]),
    atMs: fc.constant(0),
  }),
  fc.record({
    kind: fc.constant("cancel" as const),
    ids: fc.constantFrom("a", "b").map((id) => [id]),
    atMs: fc.constant(1),
  }),
  fc.record({
    kind: fc.constant("place" as const),
    runs: fc.array(runKeys(), { maxLength: 3 }),
  }),
  fc.record({
    kind: fc.constant("settle" as const),
    ends: fc.array(
      fc.tuple(
        runKeys(),
        fc.constantFrom("done", "failed", "stopped", "lapsed", "broken"),
        fc.constantFrom("", "x"),
      ).map(([key, how, checkpoint]) => ({ ...key, how, checkpoint })),
      { maxLength: 2 },
    ),
    dropped: fc.array(runKeys(), { maxLength: 1 }),
    atMs: fc.constant(2),
  }) as fc.Arbitrary<JobStoreCommand>,
  fc.record({
    kind: fc.constant("lose" as const),
    workers: fc.constantFrom("w1", "w2").map((id) => [id]),
    haveEnded: fc.boolean(),
    atMs: fc.constant(3),
  }),
  fc.constant<JobStoreCommand>({
    kind: "join",
    workers: [worker("w1"), worker("w2")],
  }),
);

function runKeys(): fc.Arbitrary<
  { task: string; run: number; worker: string }
> {
  return fc.record({
    task: fc.constantFrom(
      "a.0.0.0",
      "a.0.0.1",
      "a.0.1.0",
      "b.0.0.0",
      "b.0.0.1",
      "b.0.1.0",
      "c.0.0.0",
    ),
    run: fc.integer({ min: 1, max: 4 }),
    worker: fc.constantFrom("w1", "w2", "w3"),
  });
}

function indexes(target: JobStore): unknown {
  return {
    waiting: [...target.waiting.values()]
      .map(({ name, indices }) => [name, [...indices].sort()])
      .sort(),
    runs: [...target.workers.keys()].map((id) =>
      [...target.load(id).runs.values()].map(({ task, run: n }) => [task, n])
        .sort()
    ),
    reserved: [...target.workers.keys()].map((id) => target.load(id).reserved),
    runsToStop: [...target.runsToStop].map(({ task, run: n }) => [task, n])
      .sort(),
    pending: target.pendingJobs("reports"),
  };
}

describe("any sequence of commands", () => {
  it("leaves a store that is restored from its encoding, indexes included", () => {
    fc.assert(fc.property(fc.array(command, { maxLength: 40 }), (commands) => {
      const jobs = newJobStore([worker("w1"), worker("w2")]);
      commands.forEach((each) => jobs.apply(each));
      const restored = JobStore.decode(jobs.encode());
      expect(indexes(restored)).toEqual(indexes(jobs));
      expect(restored.encode()).toBe(jobs.encode());
    }));
  });

  it("leaves at most one active run per task, and marks those of done tasks or ended jobs to be stopped", () => {
    fc.assert(fc.property(fc.array(command, { maxLength: 40 }), (commands) => {
      const jobs = newJobStore([worker("w1"), worker("w2")]);
      commands.forEach((each) => jobs.apply(each));
      const runs = [...jobs.workers.keys()].flatMap((id) => [
        ...jobs.load(id).runs.values(),
      ]);
      expect(new Set(runs.map(({ task }) => task)).size).toBe(runs.length);
      for (const each of runs) {
        const isOpen = jobs.jobs.get(each.job)?.outcome === "open";
        const isDone = jobs.taskOf(each)?.isDone === true;
        expect(jobs.runsToStop.has(each)).toBe(!isOpen || isDone);
      }
    }));
  });
});

import { describe, expect, it } from "vitest";
import {
  type JobStore,
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
import { RunEndRecorder } from "../src/scheduler/run_end_recorder.ts";
import {
  consensusOf,
  ignore,
  PLACEMENT_SETTINGS,
  QUIET_LOG,
  TEST_CLOCK,
} from "./scheduler_fixture.ts";

const QUEUE = "reports";
const GUESS_MS = 1_000;

/** A recorder of worker w1, whose clock shows `now`. */
class Fixture {
  now = 0;
  readonly jobStore: JobStore = newJobStore([worker("w1")]);
  readonly estimate = new WorkEstimate();
  readonly speed = new WorkerSpeed();
  readonly recorder = new RunEndRecorder(() => worker("w1"), {
    consensus: consensusOf(this.jobStore),
    clock: { ...TEST_CLOCK, monotonic: () => this.now },
    log: QUIET_LOG,
    metrics: new Metrics(),
    estimate: this.estimate,
    health: new WorkerHealth(),
    speed: this.speed,
    placement: PLACEMENT_SETTINGS,
    onChange: ignore,
  });

  /** Places the only task of a new job. */
  place(job: string): void {
    submit(this.jobStore, job, spec(step({ estimatedMs: GUESS_MS })));
    place(this.jobStore, run(`${job}.0.0.0`, 1, "w1"));
  }

  /** Runs jobs one after the other, each for `tookMs`. */
  runJobs(count: number, tookMs: number): void {
    for (let i = 0; i < count; i++) {
      const job = `j${this.now}`;
      const key = run(`${job}.0.0.0`, 1, "w1");
      this.place(job);
      this.recorder.recordStart(this.jobStore.findRun(key)!, this.now);
      this.now += tookMs;
      const end = { ...key, how: "done" as const, checkpoint: "" };
      this.jobStore.apply({
        kind: "settle",
        ends: [end],
        dropped: [],
        atMs: 0,
      });
      this.recorder.recordEnds([end], []);
    }
  }

  /** Lists jobs in progress that advance by `percentPerSecond`. */
  list(jobs: readonly string[], percentPerSecond: number): void {
    const running = jobs.map((job) => ({
      task: `${job}.0.0.0`,
      run: 1,
      checkpoint: "",
      percent: Math.floor(this.now / 1_000 * percentPerSecond),
      gauge: 0,
    }));
    this.recorder.recordProgress(running, this.now);
  }
}

describe("the durations of runs", () => {
  it("teach the expected duration of their queue", () => {
    const fixture = new Fixture();
    fixture.runJobs(20, 1_500);
    expect(fixture.estimate.taskMs(QUEUE, GUESS_MS)).toBeGreaterThan(1_300);
  });

  // Guards against a queue whose tasks are taken for long since they ran on a slow worker.
  it("do not count for their queue once their worker is known to be slow", () => {
    const fixture = new Fixture();
    fixture.runJobs(20, 1_000);
    fixture.runJobs(8, 6_000);
    expect(fixture.speed.factor("w1")).toBeGreaterThan(2);
    expect(fixture.estimate.taskMs(QUEUE, GUESS_MS)).toBeLessThan(1_600);
  });
});

describe("a leader that did not start the runs of a worker", () => {
  // Guards against an estimate that begins anew with each leader, and then needs runs from start to end.
  it("learns from their progress that the worker is slow", () => {
    const fixture = new Fixture();
    const jobs = ["a", "b", "c"];
    jobs.forEach((job) => fixture.place(job));
    for (const now of [0, 200, 400, 600, 800, 1_000]) {
      fixture.now = now;
      fixture.list(jobs, 25);
    }
    expect(fixture.speed.factor("w1")).toBeGreaterThan(3);
  });

  it("does not take a worker for slow whose runs advance as expected", () => {
    const fixture = new Fixture();
    const jobs = ["a", "b", "c"];
    jobs.forEach((job) => fixture.place(job));
    for (const now of [0, 200, 400, 600, 800]) {
      fixture.now = now;
      fixture.list(jobs, 100);
    }
    expect(fixture.speed.factor("w1")).toBe(1);
  });
});

import { describe, expect, it } from "vitest";
import {
  type BatchJobSpec,
  ENDED_JOB_BYTES,
  jobLimitBytes,
  missingBytes,
  ReleaseForecast,
  runsLeft,
  submissionBytes,
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

const textOf = (text: string): BatchJobSpec => ({ ...spec(step()), text });

describe("the size of a job", () => {
  it("covers its text in a snapshot, whatever characters it has", () => {
    const plain = submissionBytes(textOf(""));
    const sizes = ["xxxx", '""""', "\u0001", "\u0436"].map((text) =>
      submissionBytes(textOf(text)) - plain
    );
    expect(sizes).toEqual([4, 8, 6, 6]);
  });

  it("grows with its steps and not with its tasks", () => {
    const one = submissionBytes(spec(step()));
    expect(submissionBytes(spec(step({ taskCount: 5_000_000 })))).toBe(one);
    expect(submissionBytes(spec(step(), step()))).toBeGreaterThan(one + 1_000);
  });

  it("is given back with its end, but for the outcome", () => {
    const store = newJobStore([worker("w1")]);
    submit(store, "j", textOf("x".repeat(10_000)));
    const accepted = store.memory.total;
    expect(accepted).toBe(submissionBytes(textOf("x".repeat(10_000))));
    const idle = store.memory.runs;
    place(store, run("j.0.0.0", 1, "w1"));
    expect(store.memory.total).toBe(accepted);
    expect(store.memory.runs).toBeGreaterThan(idle);
    end(store, run("j.0.0.0", 1, "w1"), "done");
    expect(store.memory.of({ queue: "reports" })).toBe(ENDED_JOB_BYTES);
    store.apply({ kind: "forget", endedBeforeMs: Infinity });
    expect([store.memory.total, store.memory.runs]).toEqual([0, 0]);
  });
});

describe("the limit on what jobs take", () => {
  // Guards against replicas that end since a snapshot does not fit on their disk.
  it("follows from the heap, and from the disk if that holds less", () => {
    const heap = { heapBytes: 300_000_000, heapShare: 0.2 };
    expect(jobLimitBytes({ ...heap, diskBytes: undefined })).toBe(60_000_000);
    expect(jobLimitBytes({ ...heap, diskBytes: 116_000_000 }))
      .toBe(40_000_000);
    expect(jobLimitBytes({ ...heap, diskBytes: 1_000_000 })).toBe(0);
  });

  it("tells how much has to be given back for a job to find room", () => {
    const state = { limit: 1_000_000, held: 700_000, heldByOwner: 650_000 };
    const missing = missingBytes(10_000, state);
    expect(missing).toBeGreaterThan(0);
    const after = (bytes: number): number =>
      missingBytes(10_000, {
        ...state,
        held: state.held - bytes,
        heldByOwner: state.heldByOwner - bytes,
      });
    expect(after(missing - 1)).toBeGreaterThan(0);
    expect(after(Math.ceil(missing))).toBe(0);
  });

  // Guards against jobs that fill the memory and can never be worked off.
  it("always allows some runs, and more as there is memory", () => {
    const limit = 10_000_000;
    expect(runsLeft({ limit, runs: limit, activeRuns: 0 })).toBe(1_000);
    expect(runsLeft({ limit, runs: limit, activeRuns: 1_500 })).toBe(0);
    expect(runsLeft({ limit, runs: 0, activeRuns: 1_500 }))
      .toBeGreaterThan(3_000);
  });
});

describe("the time at which callers are to come back", () => {
  it("follows from what was given back in the last seconds", () => {
    const forecast = new ReleaseForecast();
    expect(forecast.waitMs(1_000, 0, 0)).toBe(30_000);
    for (let at = 0; at <= 20_000; at += 100) {
      forecast.record(at, at);
    }
    expect(forecast.waitMs(5_000, 20_000, 20_000)).toBe(5_000);
    expect(forecast.waitMs(10, 20_000, 20_000)).toBe(1_000);
    expect(forecast.waitMs(1e9, 20_000, 20_000)).toBe(30_000);
  });
});

import { describe, expect, it } from "vitest";
import { type ListedRun, RunSurvival } from "@quetzalcove/core/scheduling";

function listed(task: string, run: number): ListedRun {
  return { task, run, checkpoint: "", percent: 0, gauge: 0 };
}

describe("the survival of a run", () => {
  it("is unknown until its worker has confirmed the start", () => {
    const survival = new RunSurvival();
    expect(survival.survivedMs("j.0.0.0", 1)).toBeUndefined();
    survival.recordStart("j.0.0.0", 1, 500);
    expect(survival.survivedMs("j.0.0.0", 1)).toBe(0);
    expect(survival.survivedMs("j.0.0.0", 2)).toBeUndefined();
  });

  it("is the time on the worker's clock from the start to the latest listing", () => {
    const survival = new RunSurvival();
    survival.recordStart("j.0.0.0", 1, 500);
    survival.recordListing([listed("j.0.0.0", 1)], 750);
    survival.recordListing([listed("j.0.0.0", 1)], 700);
    expect(survival.survivedMs("j.0.0.0", 1)).toBe(250);
  });

  it("counts from the first listing if the start had no clock reading", () => {
    const survival = new RunSurvival();
    survival.recordStart("j.0.0.0", 1, undefined);
    survival.recordListing([listed("j.0.0.0", 1)], 900);
    expect(survival.survivedMs("j.0.0.0", 1)).toBe(0);
    survival.recordListing([listed("j.0.0.0", 1)], 1_000);
    expect(survival.survivedMs("j.0.0.0", 1)).toBe(100);
  });

  it("begins anew with the next run of the task", () => {
    const survival = new RunSurvival();
    survival.recordListing([listed("j.0.0.0", 1)], 100);
    survival.recordListing([listed("j.0.0.0", 2)], 900);
    expect(survival.survivedMs("j.0.0.0", 2)).toBe(0);
    survival.retain(() => false);
    expect(survival.survivedMs("j.0.0.0", 2)).toBeUndefined();
  });
});

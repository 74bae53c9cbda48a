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

  it("is the time from the start to the worker's latest answer, whatever the order of answers", () => {
    const survival = new RunSurvival();
    survival.recordStart("j.0.0.0", 1, 500);
    survival.recordAnswer(750);
    survival.recordAnswer(700);
    expect(survival.survivedMs("j.0.0.0", 1)).toBe(250);
  });

  it("counts from the first listing if the start was not answered", () => {
    const survival = new RunSurvival();
    survival.recordListing([listed("j.0.0.0", 1)], 900);
    survival.recordListing([listed("j.0.0.0", 1)], 1_000);
    expect(survival.survivedMs("j.0.0.0", 1)).toBe(100);
  });

  it("begins anew with the next run of the task", () => {
    const survival = new RunSurvival();
    survival.recordStart("j.0.0.0", 1, 100);
    survival.recordStart("j.0.0.0", 2, 900);
    expect(survival.survivedMs("j.0.0.0", 2)).toBe(0);
    survival.retain(() => false);
    expect(survival.survivedMs("j.0.0.0", 2)).toBeUndefined();
  });
});

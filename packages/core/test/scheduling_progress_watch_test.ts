import { describe, expect, it } from "vitest";
import { type Expectation, ProgressWatch } from "@quetzalcove/core/scheduling";

const row = (task: string, percent: number) => ({
  task,
  run: 1,
  checkpoint: "",
  percent,
  gauge: 0,
});

describe("a listed run", () => {
  // Guards against a leader that looks up each run of some hundred listings a second, most of which have just begun.
  it("is not looked up before it may be stalled", () => {
    const watch = new ProgressWatch();
    const asked: number[] = [];
    const expectAt = (now: number): Expectation => {
      asked.push(now);
      return { expectedMs: 600, resumes: false };
    };
    for (let now = 0; now <= 1_000; now += 100) {
      watch.observe([row("j.0.0.0", now / 20)], () => expectAt(now), now);
    }
    expect(asked).toEqual([800, 900, 1_000]);
  });

  it("is stalled once it has made no progress for a while", () => {
    const watch = new ProgressWatch();
    const stalledAt: number[] = [];
    for (let now = 0; now <= 1_500; now += 100) {
      const { stalled } = watch.observe(
        [row("j.0.0.0", Math.min(now, 500) / 20)],
        () => ({ expectedMs: 600, resumes: false }),
        now,
      );
      if (stalled.length > 0) {
        stalledAt.push(now);
      }
    }
    expect(stalledAt).toEqual([1_300, 1_400, 1_500]);
  });
});

import { describe, expect, it } from "vitest";
import type { WaitingStep, Worker } from "@quetzalcove/core/scheduling";
import {
  book,
  queue,
  spec,
  step,
  submit,
  worker,
} from "../../core/test/scheduling_fixture.ts";
import { Metrics } from "../src/observe/metrics.ts";
import { PermitCache } from "../src/scheduler/permit_cache.ts";
import type { Advice } from "../src/scheduler/ports.ts";

const ignore = (): void => {};

interface Scene {
  desk: PermitCache;
  asked: { step: string; workers: readonly string[] }[];
  answer: (advice: Advice | undefined) => Promise<void>;
  follow: (workers: readonly Worker[]) => void;
  clock: { now: number };
}

function open(): Scene {
  const jobs = book([], queue({ advised: true }));
  submit(jobs, "j", spec(step()));
  const waiting = [...jobs.waiting.values()] as WaitingStep[];
  const asked: Scene["asked"] = [];
  const clock = { now: 0 };
  let resolve: (advice: Advice | undefined) => void = ignore;
  const desk = new PermitCache({
    calls: {
      advise: (name, workers) => {
        asked.push({ step: name, workers });
        return new Promise((settle) => resolve = settle);
      },
    },
    clock: { monotonic: () => clock.now, wall: () => 0, processor: () => 0 },
    log: { debug: ignore, info: ignore, warn: ignore, error: ignore },
    metrics: new Metrics(),
    onChange: ignore,
  });
  return {
    desk,
    asked,
    clock,
    answer: async (advice) => {
      resolve(advice);
      await Promise.resolve();
      await Promise.resolve();
    },
    follow: (workers) =>
      desk.requestMissing(waiting, () => workers, () => true, clock.now),
  };
}

function advice(...workers: string[]): Advice {
  return {
    permits: new Map(workers.map((id) => [id, `permit-${id}`])),
    validityMs: 3_000,
  };
}

describe("the advice desk", () => {
  const workers = ["w1", "w2", "w3"].map((id) => worker(id));

  it("asks one question at a time", () => {
    const { follow, asked } = open();
    follow(workers);
    follow(workers);
    expect(asked).toHaveLength(1);
  });

  it("gives permits while they are valid, counted from before the question", async () => {
    const { desk, follow, answer, clock } = open();
    follow(workers);
    clock.now = 100;
    await answer(advice("w2"));
    expect(desk.permit("j.0.0", "w2", 2_000)).toBe("permit-w2");
    expect(desk.permit("j.0.0", "w1", 2_000)).toBeUndefined();
    expect(desk.permit("j.0.0", "w2", 2_700)).toBeUndefined();
  });

  it("asks about others when those that may run the step have no room", async () => {
    const { follow, answer, asked } = open();
    follow(workers.slice(0, 2));
    await answer(advice("w1"));
    follow(workers.slice(1));
    expect(asked.map(({ workers: named }) => named)).toEqual([
      ["w1", "w2"],
      ["w3"],
    ]);
  });

  it("renews a permit that has run out, and asks again about no refused worker", async () => {
    const { follow, answer, asked, clock } = open();
    follow(workers);
    await answer(advice("w1"));
    clock.now = 5_000;
    follow(workers);
    expect(asked[1]?.workers).toEqual(["w1"]);
  });

  it("pauses after a question without an answer", async () => {
    const { follow, answer, asked, clock } = open();
    follow(workers);
    await answer(undefined);
    follow(workers);
    expect(asked).toHaveLength(1);
    clock.now = 200;
    follow(workers);
    expect(asked).toHaveLength(2);
  });
});

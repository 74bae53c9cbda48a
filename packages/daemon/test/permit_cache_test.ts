import { describe, expect, it } from "vitest";
import type { WaitingStep, Worker } from "@quetzalcove/core/scheduling";
import {
  newJobStore,
  queue,
  spec,
  step,
  submit,
  worker,
} from "../../core/test/scheduling_fixture.ts";
import { Metrics } from "../src/observe/metrics.ts";
import { TEST_CLOCK } from "./scheduler_fixture.ts";
import { PermitCache } from "../src/scheduler/permit_cache.ts";
import type { Advice } from "../src/scheduler/platform_clients.ts";

const ignore = (): void => {};

interface Fixture {
  cache: PermitCache;
  asked: { step: string; workers: readonly string[] }[];
  answer: (advice: Advice | undefined) => Promise<void>;
  request: (workers: readonly Worker[]) => void;
  clock: { now: number };
}

function setUp(): Fixture {
  const jobStore = newJobStore([], queue({ advised: true }));
  submit(jobStore, "j", spec(step()));
  const waiting = [...jobStore.waiting.values()] as WaitingStep[];
  const asked: Fixture["asked"] = [];
  const clock = { now: 0 };
  let resolve: (advice: Advice | undefined) => void = ignore;
  const cache = new PermitCache({
    client: {
      advise: (name, workers) => {
        asked.push({ step: name, workers });
        return new Promise((settle) => resolve = settle);
      },
    },
    clock: { ...TEST_CLOCK, monotonic: () => clock.now, wall: () => 0 },
    log: { debug: ignore, info: ignore, warn: ignore, error: ignore },
    metrics: new Metrics(),
    onChange: ignore,
  });
  return {
    cache,
    asked,
    clock,
    answer: async (advice) => {
      resolve(advice);
      await Promise.resolve();
      await Promise.resolve();
    },
    request: (workers) =>
      cache.requestMissing(waiting, () => workers, () => true, clock.now),
  };
}

function advice(...workers: string[]): Advice {
  return {
    permits: new Map(workers.map((id) => [id, `permit-${id}`])),
    validityMs: 3_000,
  };
}

describe("the permit cache", () => {
  const workers = ["w1", "w2", "w3"].map((id) => worker(id));

  it("has one call to the advisor in progress at a time", () => {
    const { request, asked } = setUp();
    request(workers);
    request(workers);
    expect(asked).toHaveLength(1);
  });

  it("returns permits while they are valid, counted from when the call was sent", async () => {
    const { cache, request, answer, clock } = setUp();
    request(workers);
    clock.now = 100;
    await answer(advice("w2"));
    expect(cache.permit("j.0.0", "w2", 2_000)).toBe("permit-w2");
    expect(cache.permit("j.0.0", "w1", 2_000)).toBeUndefined();
    expect(cache.permit("j.0.0", "w2", 2_700)).toBeUndefined();
  });

  it("asks about other workers when those with a permit lack free resources", async () => {
    const { request, answer, asked } = setUp();
    request(workers.slice(0, 2));
    await answer(advice("w1"));
    request(workers.slice(1));
    expect(asked.map(({ workers: named }) => named)).toEqual([
      ["w1", "w2"],
      ["w3"],
    ]);
  });

  it("renews an expired permit, and does not ask about refused workers again", async () => {
    const { request, answer, asked, clock } = setUp();
    request(workers);
    await answer(advice("w1"));
    clock.now = 5_000;
    request(workers);
    expect(asked[1]?.workers).toEqual(["w1"]);
  });

  it("backs off after a call without an answer", async () => {
    const { request, answer, asked, clock } = setUp();
    request(workers);
    await answer(undefined);
    request(workers);
    expect(asked).toHaveLength(1);
    clock.now = 200;
    request(workers);
    expect(asked).toHaveLength(2);
  });
});

import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  type JobStore,
  visibleState,
  type Worker,
} from "@quetzalcove/core/scheduling";
import {
  newJobStore,
  spec,
  step,
  submit,
  worker,
} from "../../core/test/scheduling_fixture.ts";
import { LeadershipTerm } from "../src/scheduler/leadership_term.ts";
import { consensusOf, termParts } from "./scheduler_fixture.ts";
import { SimulatedFleet } from "./simulated_fleet.ts";

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

function workers(count: number): Worker[] {
  return Array.from(
    { length: count },
    (_, i) => worker(`w${i}`, { address: `10.0.0.${i + 1}:8000` }),
  );
}

/** A leadership term on four workers, with a job that crashes each worker that starts it and an ordinary one. */
async function startTerm(): Promise<
  { term: LeadershipTerm; fleet: SimulatedFleet; jobStore: JobStore }
> {
  const fleetWorkers = workers(4);
  const jobStore = newJobStore(fleetWorkers);
  const fleet = new SimulatedFleet(jobStore, fleetWorkers, {
    taskMs: 600,
    crashAfterMs: 10,
    downMs: 3_200,
    crashes: (task) => task.startsWith("crasher."),
  });
  const term = new LeadershipTerm(
    termParts({ consensus: consensusOf(jobStore), client: fleet }),
  );
  await term.start();
  await vi.advanceTimersByTimeAsync(500);
  submit(jobStore, "crasher", spec(step()));
  submit(jobStore, "other", spec(step({ taskCount: 3 })));
  return { term, fleet, jobStore };
}

describe("a task beside one that crashes its worker", () => {
  // Guards against tasks that are lost again and again because they are placed beside the one that crashes workers.
  it("is lost once at most, and ends soon", async () => {
    const { term, fleet, jobStore } = await startTerm();
    await vi.advanceTimersByTimeAsync(10_000);
    const other = jobStore.jobs.get("other");
    expect(other && visibleState(other)).toBe("completed");
    for (let index = 0; index < 3; index++) {
      expect(fleet.startsOf(`other.0.0.${index}`)).toBeLessThanOrEqual(2);
    }
    await term.stop();
  });
});

describe("a task that crashes each worker that starts it", () => {
  // Guards against a crash loop: one task that is started again and again, on one worker after the other.
  it("is given up after a few crashes, and its job fails", async () => {
    const { term, fleet, jobStore } = await startTerm();
    await vi.advanceTimersByTimeAsync(60_000);
    const states = [...jobStore.jobs.values()].map(visibleState);
    expect(states).toEqual(["failed", "completed"]);
    expect(fleet.startsOf("crasher.0.0.0")).toBeLessThanOrEqual(5);
    await term.stop();
  });
});

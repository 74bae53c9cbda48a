import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  isLaterLife,
  type JobStore,
  visibleState,
} from "@quetzalcove/core/scheduling";
import {
  listing,
  newJobStore,
  spec,
  step,
  submit,
  worker,
} from "../../core/test/scheduling_fixture.ts";
import { LeadershipTerm } from "../src/scheduler/leadership_term.ts";
import type { RenewalAnswer } from "../src/scheduler/platform_clients.ts";
import { consensusOf, notExpected, termParts } from "./scheduler_fixture.ts";
import { type FleetBehaviour, SimulatedFleet } from "./simulated_fleet.ts";

/** Time within which a worker that restarted must have started what waits. */
const PROMPT_MS = 1_500;

beforeEach(() => {
  vi.useFakeTimers({ now: 1_000_000 });
});

afterEach(() => {
  vi.useRealTimers();
});

/** A leadership term on workers that restart under their ids. */
async function startTerm(
  workerCount: number,
  behaviour: Partial<FleetBehaviour>,
): Promise<
  { term: LeadershipTerm; fleet: SimulatedFleet; jobStore: JobStore }
> {
  const workers = Array.from(
    { length: workerCount },
    (_, i) =>
      worker(`w${i}`, {
        address: `10.0.0.${i + 1}:8000`,
        bornAtMs: Date.now(),
      }),
  );
  const jobStore = newJobStore(workers);
  const fleet = new SimulatedFleet(jobStore, workers, {
    taskMs: 600,
    crashAfterMs: 10,
    downMs: 300,
    crashes: () => false,
    restarts: "reported",
    ...behaviour,
  });
  const term = new LeadershipTerm(
    termParts({ consensus: consensusOf(jobStore), client: fleet }),
  );
  await term.start();
  await vi.advanceTimersByTimeAsync(500);
  return { term, fleet, jobStore };
}

function stateOf(jobStore: JobStore, id: string): string | undefined {
  const job = jobStore.jobs.get(id);
  return job && visibleState(job);
}

describe.each(["reported", "unreported"] as const)(
  "a worker whose restart under its id is %s",
  (restarts) => {
    // Guards against ends of the new life that are taken for those of the earlier one, and are never seen.
    it("runs again what it lost, and its run ends count from 1", async () => {
      const { term, fleet, jobStore } = await startTerm(1, { restarts });
      submit(jobStore, "before", spec(step({ taskCount: 3 })));
      await vi.advanceTimersByTimeAsync(1_000);
      expect(stateOf(jobStore, "before")).toBe("completed");
      submit(jobStore, "lost", spec(step({ taskCount: 2 })));
      await vi.advanceTimersByTimeAsync(300);
      fleet.crash("w0");
      await vi.advanceTimersByTimeAsync(300 + 600 + PROMPT_MS);
      expect(stateOf(jobStore, "lost")).toBe("completed");
      const runs = fleet.starts.filter(({ task }) => task === "lost.0.0.0");
      expect(runs.map(({ run }) => run)).toEqual([1, 2]);
      await term.stop();
    });

    // Guards against a task that crashes the same worker for ever, since no crash of it is counted.
    it("counts as crashed, so that a task that crashes it is given up", async () => {
      const { term, fleet, jobStore } = await startTerm(3, {
        restarts,
        crashes: (task) => task.startsWith("crasher."),
      });
      submit(jobStore, "crasher", spec(step()));
      await vi.advanceTimersByTimeAsync(30_000);
      expect(stateOf(jobStore, "crasher")).toBe("failed");
      expect(fleet.startsOf("crasher.0.0.0")).toBeLessThanOrEqual(5);
      await term.stop();
    });
  },
);

describe("a listing of an earlier life of a worker", () => {
  it("changes nothing", async () => {
    const jobStore = newJobStore([worker("w1", { bornAtMs: 500 })]);
    const answer: RenewalAnswer = {
      kind: "listing",
      listing: listing(),
      clockMs: 1,
      bornAtMs: 400,
    };
    const term = new LeadershipTerm(termParts({
      consensus: consensusOf(jobStore),
      client: {
        start: notExpected,
        stop: notExpected,
        pace: notExpected,
        renew: async () => {
          await new Promise((resolve) => setTimeout(resolve, 50));
          return answer;
        },
        disconnect: () => {},
      },
    }));
    await term.start();
    submit(jobStore, "j", spec(step()));
    await vi.advanceTimersByTimeAsync(1_000);
    expect(term.describe().pools.map(({ usable }) => usable)).toEqual([
      0,
      0,
      0,
    ]);
    expect(stateOf(jobStore, "j")).toBe("queued");
    expect(jobStore.workers.get("w1")?.bornAtMs).toBe(500);
    await term.stop();
  });
});

describe("the birth of a worker of which none was known", () => {
  // Guards against workers recorded by the previous version that are taken for restarted at an upgrade.
  it("is stored and is no restart", async () => {
    const { term, fleet, jobStore } = await startTerm(1, {});
    const known = jobStore.workers.get("w0")!;
    jobStore.workers.set("w0", { ...known, bornAtMs: undefined });
    submit(jobStore, "j", spec(step()));
    await vi.advanceTimersByTimeAsync(3_000);
    expect(stateOf(jobStore, "j")).toBe("completed");
    expect(fleet.startsOf("j.0.0.0")).toBe(1);
    const stored = jobStore.workers.get("w0")?.bornAtMs;
    expect(isLaterLife(known.bornAtMs, stored)).toBe(false);
    expect(stored).toBe(known.bornAtMs);
    await term.stop();
  });
});

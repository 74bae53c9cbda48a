import { describe, expect, it } from "vitest";
import { Err, type Fault, fault, Ok, type Result } from "@quetzalcove/core";
import {
  type BookCommand,
  type BookOutput,
  JobBook,
  type RunEnd,
} from "@quetzalcove/core/scheduling";
import { RunEndBatcher } from "../src/scheduler/run_end_batcher.ts";
import { consensusOf, TEST_CLOCK } from "./scheduler_fixture.ts";

const APPLIED: BookOutput = { kind: "applied" };

type Settle = Extract<BookCommand, { kind: "settle" }>;

/** A log whose commits end when the test says so. */
class SlowLog {
  readonly proposed: Settle[] = [];
  readonly #commits: ((result: Result<BookOutput, Fault>) => void)[] = [];

  readonly settlements = new RunEndBatcher({
    consensus: consensusOf(new JobBook(), {
      propose: (command) => {
        this.proposed.push(command as Settle);
        return new Promise((resolve) => this.#commits.push(resolve));
      },
    }),
    clock: TEST_CLOCK,
  });

  async finish(result: Result<BookOutput, Fault> = Ok(APPLIED)): Promise<void> {
    this.#commits.shift()?.(result);
    await new Promise((resolve) => setImmediate(resolve));
  }
}

function endOf(task: string): RunEnd {
  return { task, run: 1, worker: "w1", how: "done", checkpoint: "" };
}

function tasksOf({ ends }: Settle): string[] {
  return ends.map(({ task }) => task);
}

describe("ends that workers list", () => {
  it("go into the log at once when nothing is under way", async () => {
    const log = new SlowLog();
    const stored = log.settlements.add([endOf("a")], []);
    await new Promise((resolve) => setImmediate(resolve));
    expect(log.proposed.map(tasksOf)).toEqual([["a"]]);
    await log.finish();
    expect((await stored).ok).toBe(true);
  });

  it("share one entry when they come while another is being committed", async () => {
    const log = new SlowLog();
    void log.settlements.add([endOf("a")], []);
    await new Promise((resolve) => setImmediate(resolve));
    const others = Array.from(
      { length: 50 },
      (_, i) => log.settlements.add([endOf(`b${i}`)], []),
    );
    expect(log.proposed).toHaveLength(1);
    await log.finish();
    expect(log.proposed).toHaveLength(2);
    expect(log.proposed[1]?.ends).toHaveLength(50);
    await log.finish();
    expect((await Promise.all(others)).every(({ ok }) => ok)).toBe(true);
  });

  it("are reported as stored only with their own entry", async () => {
    const log = new SlowLog();
    void log.settlements.add([endOf("a")], []);
    await new Promise((resolve) => setImmediate(resolve));
    let isStored = false;
    void log.settlements.add([endOf("b")], []).then(() => {
      isStored = true;
    });
    await new Promise((resolve) => setImmediate(resolve));
    await log.finish();
    expect(isStored).toBe(false);
    await log.finish();
    expect(isStored).toBe(true);
  });

  it("are not lost with the entry before them", async () => {
    const log = new SlowLog();
    const first = log.settlements.add([endOf("a")], []);
    await new Promise((resolve) => setImmediate(resolve));
    const second = log.settlements.add([endOf("b")], []);
    await log.finish(Err(fault("no_leader", "Leadership was lost")));
    await log.finish();
    expect([(await first).ok, (await second).ok]).toEqual([false, true]);
    expect(log.proposed.map(tasksOf)).toEqual([["a"], ["b"]]);
  });
});

import { describe, expect, it } from "vitest";
import { Err, type Fault, fault, Ok, type Result } from "@quetzalcove/core";
import {
  JobStore,
  type JobStoreCommand,
  type JobStoreOutput,
  type RunEnd,
} from "@quetzalcove/core/scheduling";
import { RunEndBatcher } from "../src/scheduler/run_end_batcher.ts";
import { consensusOf, TEST_CLOCK } from "./scheduler_fixture.ts";

const APPLIED: JobStoreOutput = { kind: "applied" };

type Settle = Extract<JobStoreCommand, { kind: "settle" }>;

/** A log whose commits finish when the test calls `finishCommit`. */
class ControlledLog {
  readonly proposed: Settle[] = [];
  readonly #commits: ((result: Result<JobStoreOutput, Fault>) => void)[] = [];

  readonly batcher = new RunEndBatcher({
    consensus: consensusOf(new JobStore(), {
      propose: (command) => {
        this.proposed.push(command as Settle);
        return new Promise((resolve) => this.#commits.push(resolve));
      },
    }),
    clock: TEST_CLOCK,
  });

  async finishCommit(
    result: Result<JobStoreOutput, Fault> = Ok(APPLIED),
  ): Promise<void> {
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

describe("run ends that workers list", () => {
  it("are proposed at once when no commit is in progress", async () => {
    const log = new ControlledLog();
    const stored = log.batcher.add([endOf("a")], []);
    await new Promise((resolve) => setImmediate(resolve));
    expect(log.proposed.map(tasksOf)).toEqual([["a"]]);
    await log.finishCommit();
    expect((await stored).ok).toBe(true);
  });

  // Guards against heartbeats that wait while the ends of a large fleet are applied by one command.
  it("become several log entries if they are very many", async () => {
    const log = new ControlledLog();
    const ends = Array.from({ length: 2_500 }, (_, i) => endOf(`a${i}`));
    const stored = log.batcher.add(ends, []);
    await new Promise((resolve) => setImmediate(resolve));
    expect(log.proposed.map(({ ends: { length } }) => length))
      .toEqual([1_000, 1_000, 500]);
    expect(log.proposed.flatMap(tasksOf)).toEqual(ends.map(({ task }) => task));
    await log.finishCommit();
    await log.finishCommit(Err(fault("no_leader", "Leadership was lost")));
    await log.finishCommit();
    expect((await stored).err).toBe(true);
  });

  it("share one log entry when they arrive while another is being committed", async () => {
    const log = new ControlledLog();
    void log.batcher.add([endOf("a")], []);
    await new Promise((resolve) => setImmediate(resolve));
    const others = Array.from(
      { length: 50 },
      (_, i) => log.batcher.add([endOf(`b${i}`)], []),
    );
    expect(log.proposed).toHaveLength(1);
    await log.finishCommit();
    expect(log.proposed).toHaveLength(2);
    expect(log.proposed[1]?.ends).toHaveLength(50);
    await log.finishCommit();
    expect((await Promise.all(others)).every(({ ok }) => ok)).toBe(true);
  });

  it("are reported as stored only when their own log entry is committed", async () => {
    const log = new ControlledLog();
    void log.batcher.add([endOf("a")], []);
    await new Promise((resolve) => setImmediate(resolve));
    let isStored = false;
    void log.batcher.add([endOf("b")], []).then(() => {
      isStored = true;
    });
    await new Promise((resolve) => setImmediate(resolve));
    await log.finishCommit();
    expect(isStored).toBe(false);
    await log.finishCommit();
    expect(isStored).toBe(true);
  });

  it("are still committed when the previous log entry fails", async () => {
    const log = new ControlledLog();
    const first = log.batcher.add([endOf("a")], []);
    await new Promise((resolve) => setImmediate(resolve));
    const second = log.batcher.add([endOf("b")], []);
    await log.finishCommit(Err(fault("no_leader", "Leadership was lost")));
    await log.finishCommit();
    expect([(await first).ok, (await second).ok]).toEqual([false, true]);
    expect(log.proposed.map(tasksOf)).toEqual([["a"], ["b"]]);
  });
});

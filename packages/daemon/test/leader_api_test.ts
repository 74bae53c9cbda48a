import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Err, type Fault, fault, Ok, type Result } from "@quetzalcove/core";
import { JobStore, type JobStoreCommand } from "@quetzalcove/core/scheduling";
import { spec, step } from "../../core/test/scheduling_fixture.ts";
import { LeaderApi } from "../src/scheduler/leader_api.ts";
import {
  consensusOf,
  ignore,
  QUIET_LOG,
  TEST_CLOCK,
} from "./scheduler_fixture.ts";

/** How long an entry node waits for the answer of one replica. */
const ENTRY_TIMEOUT_MS = 700;

const SUBMISSION = {
  host: "jobs.example",
  path: "/intake/0000000000000001",
  spec: spec(step()),
};

/** A leader API whose leadership confirmations are answered by `barrier`. */
function leaderApiWith(barrier: () => Promise<Result<void, Fault>>): {
  submit: () => Promise<Result<unknown, Fault>>;
  proposed: JobStoreCommand[];
} {
  const proposed: JobStoreCommand[] = [];
  const leaderApi = new LeaderApi({
    consensus: consensusOf(new JobStore(), {
      propose: (command) => {
        proposed.push(command);
        return Promise.resolve(Ok({ kind: "applied" as const }));
      },
      barrier,
    }),
    clock: TEST_CLOCK,
    log: QUIET_LOG,
    onChange: ignore,
    onAccepted: ignore,
  });
  const handler = leaderApi.handlers().get("submit_job");
  return {
    submit: () => handler?.(SUBMISSION) ?? Promise.reject(new Error("absent")),
    proposed,
  };
}

describe("a submission to a leader that lost its quorum", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it("is refused as not run while the entry node still waits, and is never proposed", async () => {
    let confirm: (result: Result<void, Fault>) => void = ignore;
    const { submit, proposed } = leaderApiWith(() =>
      new Promise((resolve) => {
        confirm = resolve;
      })
    );
    const answer = submit();
    await vi.advanceTimersByTimeAsync(ENTRY_TIMEOUT_MS);
    const settled = await Promise.race([answer, Promise.resolve(undefined)]);
    expect(settled?.err && settled.val).toMatchObject({
      kind: "no_leader",
      outcome: "not run",
    });
    // The quorum returns, too late for this submission.
    confirm(Ok.EMPTY);
    await vi.advanceTimersByTimeAsync(ENTRY_TIMEOUT_MS);
    expect(proposed).toEqual([]);
  });

  it("is refused as not run when leadership is lost before it is proposed", async () => {
    const { submit, proposed } = leaderApiWith(() =>
      Promise.resolve(Err(fault("no_leader", "Leadership was lost")))
    );
    const answer = await submit();
    expect(answer.err && answer.val.outcome).toBe("not run");
    expect(proposed).toEqual([]);
  });

  it("is refused with the name of the current leader", async () => {
    const { submit } = leaderApiWith(() =>
      Promise.resolve(Err(fault("not_leader", "Not here", { leader: "n2" })))
    );
    const answer = await submit();
    expect(answer.err && answer.val).toMatchObject({
      kind: "not_leader",
      leader: "n2",
      outcome: "not run",
    });
  });
});

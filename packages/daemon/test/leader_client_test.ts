import { describe, expect, it } from "vitest";
import { Err, type Fault, fault, type Result } from "@quetzalcove/core";
import { LeaderClient } from "../src/entry/leader_client.ts";
import type { Link } from "../src/link/link.ts";

/** A clock that moves on only when a test says so. */
function clockOf(): {
  monotonic: () => number;
  wall: () => number;
  now: number;
} {
  const clock = {
    now: 0,
    monotonic: (): number => clock.now,
    wall: (): number => clock.now,
  };
  return clock;
}

const notRun = fault("not_leader", "Another one leads", { outcome: "not run" });

describe("a call at the leader", () => {
  it("does not say not run after an earlier try that may have taken effect", async () => {
    const clock = clockOf();
    const answers: Fault[] = [fault("timeout", "No answer in time"), notRun];
    const link = {
      request: (): Promise<Result<unknown, Fault>> => {
        clock.now += 60;
        return Promise.resolve(Err(answers.shift() ?? notRun));
      },
    } as unknown as Link;
    const client = new LeaderClient({
      entry: "e1",
      local: undefined,
      links: new Map([["e2", link]]),
      clock,
    });
    const result = await client.call("propose", {}, 100);
    expect(result.err && result.val).toMatchObject({
      kind: "not_leader",
      outcome: "unknown",
    });
  });

  it("says not run when no try can have taken effect", async () => {
    const clock = clockOf();
    const link = {
      request: (): Promise<Result<unknown, Fault>> => {
        clock.now += 60;
        return Promise.resolve(Err(notRun));
      },
    } as unknown as Link;
    const client = new LeaderClient({
      entry: "e1",
      local: undefined,
      links: new Map([["e2", link]]),
      clock,
    });
    const result = await client.call("propose", {}, 100);
    expect(result.err && result.val.outcome).toBe("not run");
  });

  it("ends at its deadline although this daemon leads and cannot commit", async () => {
    const clock = clockOf();
    const client = new LeaderClient({
      entry: "e1",
      local: new Map([["propose", () => new Promise(() => {})]]),
      links: new Map(),
      clock: { ...clock, monotonic: () => performance.now() },
    });
    const result = await client.call("propose", {}, 20);
    expect(result.err && result.val.kind).toBe("timeout");
  });
});

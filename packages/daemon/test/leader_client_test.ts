import { describe, expect, it } from "vitest";
import { Err, type Fault, fault, Ok, type Result } from "@quetzalcove/core";
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

describe("a leader that does not answer", () => {
  it("is given up for another replica long before the deadline of the call", async () => {
    const clock = clockOf();
    const asked: { entry: string; limitMs: number }[] = [];
    const linkTo = (entry: string, answers: boolean): Link => {
      const request = (
        _: string,
        __: unknown,
        limitMs: number,
      ): Promise<Result<unknown, Fault>> => {
        asked.push({ entry, limitMs });
        clock.now += answers ? 1 : limitMs;
        const silent = Err(fault("timeout", "No answer in time"));
        return Promise.resolve(answers ? Ok({ from: entry }) : silent);
      };
      return { request } as unknown as Link;
    };
    const client = new LeaderClient({
      entry: "e1",
      local: undefined,
      links: new Map([["e2", linkTo("e2", true)], ["e3", linkTo("e3", false)]]),
      clock,
    });
    const result = await client.call("propose", {}, 5_000);
    expect({ answer: result.val, asked }).toMatchInlineSnapshot(`
      {
        "answer": {
          "from": "e2",
        },
        "asked": [
          {
            "entry": "e3",
            "limitMs": 700,
          },
          {
            "entry": "e2",
            "limitMs": 700,
          },
        ],
      }
    `);
  });
});

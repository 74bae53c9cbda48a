import { describe, expect, it } from "vitest";
import { Err, type Fault, fault, Ok, type Result } from "@quetzalcove/core";
import { LeaderClient } from "../src/entry/leader_client.ts";
import type { Link } from "../src/link/link.ts";

/** A clock that advances only when a test sets it. */
function fakeClock(): {
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

/** A client of one other replica, which gives some faults and then one for ever, each after 60 ms. */
function clientWithFaults(
  clock: ReturnType<typeof fakeClock>,
  first: readonly Fault[],
  then: Fault,
): LeaderClient {
  const faults = [...first];
  const link = {
    request: (): Promise<Result<unknown, Fault>> => {
      clock.now += 60;
      return Promise.resolve(Err(faults.shift() ?? then));
    },
  } as unknown as Link;
  return new LeaderClient({
    entry: "e1",
    local: undefined,
    links: new Map([["e2", link]]),
    clock,
  });
}

describe("a call at the leader", () => {
  it("has an unknown outcome if an earlier attempt may have taken effect", async () => {
    const clock = fakeClock();
    const timeout = fault("timeout", "No answer in time");
    const client = clientWithFaults(clock, [timeout], notRun);
    const result = await client.call("propose", {}, 100);
    expect(result.err && result.val).toMatchObject({
      kind: "not_leader",
      outcome: "unknown",
    });
  });

  // Guards against a promise that a job never runs while an earlier attempt may have stored it.
  it("has an unknown outcome if an attempt is refused after one that may have taken effect", async () => {
    const clock = fakeClock();
    const refused = fault("unauthenticated", "The API key is unknown", {
      outcome: "not run",
    });
    const timeout = fault("timeout", "No answer in time");
    const client = clientWithFaults(clock, [timeout], refused);
    const outcomes: unknown[] = [];
    for (let i = 0; i < 2; i++) {
      const result = await client.call("submit", {}, 1_000);
      outcomes.push(result.err && [result.val.kind, result.val.outcome]);
    }
    expect(outcomes).toEqual([
      ["unauthenticated", "unknown"],
      ["unauthenticated", "not run"],
    ]);
  });

  it("has the outcome not run if no attempt can have taken effect", async () => {
    const clock = fakeClock();
    const client = clientWithFaults(clock, [], notRun);
    const result = await client.call("propose", {}, 100);
    expect(result.err && result.val.outcome).toBe("not run");
  });

  it("times out if the local replica leads but cannot commit", async () => {
    const clock = fakeClock();
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
  it("is replaced by another replica well before the deadline of the call", async () => {
    const clock = fakeClock();
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

describe("a leader that refuses a call", () => {
  // Guards against valid calls that wait while a flood of refused calls takes turns in searching for the leader.
  it("is known to lead, so that no further call searches for it", async () => {
    const clock = fakeClock();
    const linkTo = (answer: Fault): Link =>
      ({ request: () => Promise.resolve(Err(answer)) }) as unknown as Link;
    const client = new LeaderClient({
      entry: "e1",
      local: undefined,
      links: new Map([
        ["e2", linkTo(notRun)],
        ["e3", linkTo(fault("unauthenticated", "The API key is unknown"))],
      ]),
      clock,
    });
    await client.call("read_queue", {}, 1_000);
    expect(client.leader).toBe("e3");
  });
});

describe("calls while no replica leads", () => {
  /** A client of replicas that all answer `not_leader` after 10 ms of the fake clock, naming the hint if given. */
  function clientWithoutLeader(hint?: string): {
    client: LeaderClient;
    clock: ReturnType<typeof fakeClock>;
    asked: string[];
  } {
    const clock = fakeClock();
    const asked: string[] = [];
    const linkTo = (entry: string): Link => {
      const request = async (): Promise<Result<unknown, Fault>> => {
        asked.push(entry);
        await new Promise((resolve) => setTimeout(resolve, 1));
        clock.now += 10;
        const named = hint === undefined ? {} : { leader: hint };
        return Err(fault("not_leader", "No", { outcome: "not run", ...named }));
      };
      return { request } as unknown as Link;
    };
    const client = new LeaderClient({
      entry: "e1",
      local: undefined,
      links: new Map(["e2", "e3", "e4"].map((e) => [e, linkTo(e)])),
      clock,
    });
    return { client, clock, asked };
  }

  function outcomesOf(results: Result<unknown, Fault>[]): Set<unknown> {
    return new Set(results.map((each) => each.err && each.val.outcome));
  }

  it("do not overload the replicas, however many wait", async () => {
    const { client, asked } = clientWithoutLeader();
    const results = await Promise.all(
      Array.from({ length: 200 }, () => client.call("submit", {}, 100)),
    );
    // One search at a time, each of 10 ms.
    expect(asked.length).toBeLessThanOrEqual(11);
    expect(outcomesOf(results)).toEqual(new Set(["not run"]));
  });

  it("do not overload a failed leader that the other replicas still name", async () => {
    const { client, asked } = clientWithoutLeader("e9");
    await Promise.all(
      Array.from({ length: 200 }, () => client.call("submit", {}, 100)),
    );
    expect(asked.length).toBeLessThanOrEqual(11);
  });

  it("fail at once after a long time without a leader, with an increasing Retry-After", async () => {
    const { client, clock, asked } = clientWithoutLeader();
    clock.now = 3_500;
    const searching = client.call("submit", {}, 10);
    const askedBefore = asked.length;
    const refused = await client.call("submit", {}, 2_500);
    expect(asked.length).toBe(askedBefore);
    expect(refused.err && refused.val).toMatchObject({
      outcome: "not run",
      retryAfterMs: 1_750,
    });
    await searching;
    clock.now = 60_000;
    const late = await client.call("submit", {}, 10);
    expect(late.err && late.val.retryAfterMs).toBe(3_000);
  });

  it("wait while an election is likely in progress", async () => {
    const { client, clock } = clientWithoutLeader();
    clock.now = 500;
    const refused = await client.call("submit", {}, 100);
    expect(clock.now).toBeGreaterThanOrEqual(600);
    expect(refused.err && refused.val.retryAfterMs).toBe(1_000);
  });
});

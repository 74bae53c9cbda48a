import { beforeEach, describe, expect, it } from "vitest";
import { Err, type Fault, fault, Ok, type Result } from "@quetzalcove/core";
import { customer, planOf, queue } from "../../core/test/scheduling_fixture.ts";
import { decideAccess } from "@quetzalcove/core/scheduling";
import { Metrics } from "../src/observe/metrics.ts";
import { CustomerClient } from "../src/scheduler/customer_client.ts";
import { suspensionAwareTime } from "../src/suspension_aware_time.ts";

/** How long the answer of the leader takes. */
const ROUND_TRIP_MS = 5;

/** An entry and a leader whose plan and state a test changes. */
class EntryFixture {
  readonly metrics = new Metrics();
  readonly clock = {
    monotonicMs: 0,
    wallMs: 1_000_000,
    monotonic: () => this.clock.monotonicMs,
    wall: () => this.clock.wallMs,
  };
  plan = planOf([customer("acme", "a")]);
  leaderCalls = 0;
  /** The answer to calls with valid keys. */
  answer: Result<unknown, Fault> = Ok({});
  readonly #client = new CustomerClient({
    call: (_, params) => {
      this.leaderCalls += 1;
      this.advance(ROUND_TRIP_MS);
      const { keyDigest } = params as { keyDigest?: string };
      const access = decideAccess(this.plan, queue(), keyDigest);
      return Promise.resolve(access.err ? access : this.answer);
    },
    metrics: this.metrics,
    clock: this.clock,
  });

  advance(ms: number): void {
    this.clock.monotonicMs += ms;
    this.clock.wallMs += ms;
  }

  /** Suspends the process; its monotonic clock stands still. */
  suspend(ms: number): void {
    this.clock.wallMs += ms;
  }

  /** The kind of a call's fault, or "accepted". */
  async call(keyDigest?: string): Promise<string> {
    const params = { host: "reports.example", path: "/reports/j", keyDigest };
    const called = await this.#client.call("read_queue", params, 1_000);
    return called.ok ? "accepted" : called.val.kind;
  }
}

describe("an entry", () => {
  let entry: EntryFixture;

  beforeEach(() => {
    entry = new EntryFixture();
  });

  // Guards against an entry that knows a key better than the leader: a withdrawn key would work on.
  it("asks the leader about a key that it accepted before", async () => {
    expect(await entry.call("a")).toBe("accepted");
    entry.plan = planOf([customer("acme", "b")]);
    expect(await entry.call("a")).toBe("unauthenticated");
    expect(entry.leaderCalls).toBe(2);
  });

  it("repeats a refusal for a short time without asking the leader", async () => {
    await entry.call("b");
    expect(await entry.call("b")).toBe("unauthenticated");
    expect(entry.leaderCalls).toBe(1);
    entry.advance(1_000);
    await entry.call("b");
    expect(entry.leaderCalls).toBe(2);
  });

  // Guards against a refusal that outlives a pause of the entry, since its monotonic clock stood still meanwhile.
  it("does not repeat a refusal from before a suspension of its process", async () => {
    expect(await entry.call("b")).toBe("unauthenticated");
    entry.plan = planOf([customer("acme", "b")]);
    entry.suspend(2_500);
    expect(await entry.call("b")).toBe("accepted");
  });

  // Guards against a flood of calls without a key that marks the absence of a key as refused: anonymous calls on other
  // queues have none either.
  it("never repeats the refusal of a call without a key", async () => {
    await entry.call(undefined);
    await entry.call(undefined);
    expect(entry.leaderCalls).toBe(2);
  });

  // Guards against a failure to reach the leader that counts as its word on a key.
  it("takes neither an acceptance nor a refusal from an answer that is not about the key", async () => {
    await entry.call(undefined);
    entry.answer = Err(fault("no_leader", "No replica leads"));
    const kinds = new Set<string>();
    for (let i = 0; i < 100; i++) {
      kinds.add(await entry.call("a"));
      entry.advance(-ROUND_TRIP_MS);
    }
    expect([...kinds]).toEqual(["no_leader", "overloaded"]);
  });

  // Guards against a customer whose refused submissions make its key one that was never accepted.
  it.each(["over_quota", "conflict"] as const)(
    "takes a key as accepted whose call has the fault %s",
    async (kind) => {
      entry.answer = Err(fault(kind, "Refused after the key was accepted"));
      for (let i = 0; i < 100; i++) {
        await entry.call(undefined);
        expect(await entry.call("a")).toBe(kind);
      }
    },
  );

  // Guards against callers that stay refused after a plan without customers has replaced one with customers.
  it("serves 40 callers whose keys it refused within 2 s once the plan has no customers", async () => {
    const callers = Array.from({ length: 40 }, (_, i) => `old${i}`);
    for (const caller of callers) {
      await entry.call(caller);
    }
    entry.plan = planOf([]);
    entry.advance(1_000);
    const answers = await Promise.all(callers.map((each) => entry.call(each)));
    expect(answers.filter((answer) => answer === "unauthenticated"))
      .toEqual([]);
    entry.advance(1_000);
    for (const caller of callers) {
      answers.push(await entry.call(caller));
    }
    expect(answers.slice(-callers.length))
      .toEqual(callers.map(() => "accepted"));
  });

  // Guards against digests as labels, which would also make the number of series unbounded.
  it("counts its refusals by reason only", async () => {
    for (let i = 0; i < 300; i++) {
      await entry.call(`5e884898da28${i % 100}`);
    }
    const lines = entry.metrics.text().split("\n");
    const counted = lines.filter((line) => line.includes("key_refusals"));
    expect(counted.map((line) => line.replace(/ \d+$/, " N")))
      .toMatchInlineSnapshot(`
        [
          "# TYPE quetzalcove_key_refusals_total counter",
          "quetzalcove_key_refusals_total{reason="overloaded"} N",
          "quetzalcove_key_refusals_total{reason="unauthenticated"} N",
        ]
      `);
    expect(entry.metrics.text()).not.toContain("5e884898da28");
  });

  // Guards against a flood that reaches the leader: 20 s of 1,000 calls a second, half of them with ever new keys.
  it("sends the leader at most 30 calls a second with keys that were never accepted, after a burst of 60", async () => {
    for (let i = 0; i < 20_000; i++) {
      await entry.call(i % 2 === 0 ? `x${i}` : `x${i % 200}`);
      entry.advance(1);
    }
    const seconds = entry.clock.monotonicMs / 1_000;
    expect(entry.leaderCalls).toBeLessThanOrEqual(60 + 30 * seconds);
  });
});

describe("the time of an entry", () => {
  it("advances with the monotonic clock, and with the wall clock while the process is suspended", () => {
    const clock = { now: 0, wallMs: 0 };
    const time = suspensionAwareTime({
      monotonic: () => clock.now,
      wall: () => clock.wallMs,
    });
    const times = [[10, 10], [20, 5_020], [30, 5_031], [40, 1_000], [50, 1_010]]
      .map(([now = 0, wallMs = 0]) => {
        Object.assign(clock, { now, wallMs });
        return time();
      });
    expect(times).toEqual([10, 5_020, 5_030, 5_040, 5_050]);
  });
});

import { describe, expect, it } from "vitest";
import {
  ACCEPTANCE_LIFETIME_MS,
  CallAllowance,
  ExpiringSet,
  KeyCache,
  REFUSAL_LIFETIME_MS,
  UNPROVEN_BURST,
  UNPROVEN_CALLS_PER_S,
} from "@quetzalcove/core/scheduling";

/** The platform's `config_apply_ms`: when a new plan must apply everywhere. */
const PLAN_APPLIES_AFTER_MS = 2_500;

/** Rate of each flood; an entry serves some hundred calls a second. */
const FLOOD_CALLS_PER_S = 1_000;

const CLASSES = 3;

/** An entry that gets calls, and a leader that knows `validKeys`. Counts the calls that the leader gets. */
class FloodedEntry {
  readonly cache = new KeyCache();
  readonly validKeys = new Set<string>();
  leaderCalls = 0;

  call(key: string, now: number): "accepted" | "unauthenticated" | string {
    const refusal = this.cache.refusalOf(key, now);
    if (refusal !== undefined) {
      return refusal.kind;
    }
    this.leaderCalls += 1;
    if (this.validKeys.has(key)) {
      this.cache.recordAccepted(key, now);
      return "accepted";
    }
    this.cache.recordRefused(key, now, now);
    return "unauthenticated";
  }
}

/** Plays `seconds` of a flood; `eachMs` is called for each millisecond. */
function flood(
  entry: FloodedEntry,
  keyOf: (i: number) => string,
  seconds: number,
  eachMs: (now: number) => void = () => {},
): void {
  for (let now = 0; now < seconds * FLOOD_CALLS_PER_S; now++) {
    entry.call(keyOf(now), now);
    eachMs(now);
  }
}

const MANY_SECONDS = 20;
const MAX_LEADER_CALLS = CLASSES *
  (UNPROVEN_BURST + MANY_SECONDS * UNPROVEN_CALLS_PER_S);

const FLOODS = [
  ["one key", () => "x"],
  ["200 keys", (i: number) => `x${i % 200}`],
  ["ever new keys", (i: number) => `x${i}`],
] as const;

describe.each(FLOODS)("a flood of calls with %s", (_, keyOf) => {
  // Guards against a leader that is kept busy by refusals: 20,000 calls here.
  it("costs the leader a bounded number of calls", () => {
    const entry = new FloodedEntry();
    flood(entry, keyOf, MANY_SECONDS);
    expect(entry.leaderCalls).toBeLessThanOrEqual(MAX_LEADER_CALLS);
    expect(entry.leaderCalls).toBeGreaterThan(0);
  });

  // Guards against customers that the limit keeps out together with the flood.
  it("does not affect keys that were accepted recently", () => {
    const entry = new FloodedEntry();
    entry.validKeys.add("acme");
    entry.call("acme", 0);
    const answers = new Set<string>();
    flood(entry, keyOf, MANY_SECONDS, (now) => {
      if (now % 100 === 0) {
        answers.add(entry.call("acme", now));
      }
    });
    expect([...answers]).toEqual(["accepted"]);
  });

  // Guards against a new key that has to compete with the flood: its caller would get 503 for minutes.
  it("lets in a valid key that no call was made with before", () => {
    const entry = new FloodedEntry();
    entry.validKeys.add("late");
    const answers: string[] = [];
    flood(entry, keyOf, MANY_SECONDS, (now) => {
      if (now >= 10_000 && now % 1_000 === 500) {
        answers.push(entry.call("late", now));
      }
    });
    expect(answers.indexOf("accepted")).toBeOneOf([0, 1]);
    expect(answers.slice(1)).not.toContain("overloaded");
  });
});

describe("a refusal that an entry remembers", () => {
  // Guards against a new key that a stale cache refuses.
  it("ends well before a plan that adds the key must apply, however often the key is tried", () => {
    const entry = new FloodedEntry();
    const addedAt = 5_000;
    let acceptedAt = Infinity;
    for (let now = 0; now < 10_000; now += 7) {
      if (now >= addedAt) {
        entry.validKeys.add("new");
      }
      if (entry.call("new", now) === "accepted") {
        acceptedAt = Math.min(acceptedAt, now);
      }
    }
    expect(acceptedAt).toBeLessThanOrEqual(addedAt + REFUSAL_LIFETIME_MS + 7);
    expect(REFUSAL_LIFETIME_MS).toBeLessThan(PLAN_APPLIES_AFTER_MS / 2);
  });

  // Guards against a refusal that counts from its arrival: it may be seconds old when a slow leader answers.
  it("counts from when the call was sent", () => {
    const cache = new KeyCache();
    cache.recordRefused("x", 0, 900);
    expect(cache.refusalOf("x", 999)?.kind).toBe("unauthenticated");
    expect(cache.refusalOf("x", REFUSAL_LIFETIME_MS)).toBeUndefined();
    cache.recordRefused("y", 0, 3_000);
    expect(cache.refusalOf("y", 3_000)).toBeUndefined();
  });

  it("has not run and names no key", () => {
    const cache = new KeyCache();
    cache.recordRefused("5e884898da28", 0, 0);
    expect(cache.refusalOf("5e884898da28", 1)).toMatchInlineSnapshot(`
      {
        "kind": "unauthenticated",
        "message": "The API key is unknown",
        "outcome": "not run",
      }
    `);
  });
});

describe("the limit of calls with unproven keys", () => {
  function refusals(cache: KeyCache, now: number): string[] {
    return Array.from(
      { length: 200 },
      (_, i) => cache.refusalOf(`${now}-${i}`, now)?.kind ?? "passed on",
    );
  }

  // Guards against refusals under a plan without customers.
  it("does not apply before the leader has refused a call, or long after", () => {
    const cache = new KeyCache();
    expect(new Set(refusals(cache, 0))).toEqual(new Set(["passed on"]));
    cache.recordRefused(undefined, 0, 0);
    expect(new Set(refusals(cache, 1))).toContain("overloaded");
    const later = ACCEPTANCE_LIFETIME_MS;
    expect(new Set(refusals(cache, later))).toEqual(new Set(["passed on"]));
  });

  // Guards against a refusal after which a caller does not retry, or takes its job for stored.
  it("refuses as not run, with a time to retry", () => {
    const cache = new KeyCache();
    cache.recordRefused(undefined, 0, 0);
    refusals(cache, 0);
    expect(cache.refusalOf("k", 0)).toMatchInlineSnapshot(`
      {
        "kind": "overloaded",
        "message": "Too many calls with unproven API keys",
        "outcome": "not run",
        "retryAfterMs": 1000,
      }
    `);
  });

  // Guards against a withdrawn key that stays exempt from the limit.
  it("applies again to a key that the leader refuses", () => {
    const cache = new KeyCache();
    cache.recordAccepted("k", 0);
    cache.recordRefused("k", 0, 0);
    const now = REFUSAL_LIFETIME_MS;
    const passed = Array.from(
      { length: 200 },
      () => cache.refusalOf("k", now),
    ).filter((refusal) => refusal === undefined);
    expect(passed).toHaveLength(UNPROVEN_BURST);
  });
});

describe("an allowance of calls", () => {
  it("is its burst at first and after a long pause, and grows with time up to that", () => {
    const allowance = new CallAllowance(10, 4);
    const takenAt = (now: number): number =>
      Array.from({ length: 50 }, () => allowance.take(now)).filter(Boolean)
        .length;
    expect([0, 0, 100, 350, 60_000].map(takenAt)).toEqual([4, 0, 1, 2, 4]);
  });

  // Guards against an allowance that a time before the last one empties or fills.
  it("neither grows nor shrinks when time seems to go back", () => {
    const allowance = new CallAllowance(10, 2);
    expect([1_000, 500, 500, 1_000].map((now) => allowance.take(now)))
      .toEqual([true, true, false, false]);
  });
});

describe("an expiring set", () => {
  // Guards against memory that grows with the number of keys tried.
  it("removes the oldest member when it is full", () => {
    const set = new ExpiringSet(3);
    ["a", "b", "c", "a", "d"].forEach((member) => set.add(member, 10));
    expect(["a", "b", "c", "d"].filter((member) => set.has(member, 5)))
      .toEqual(["a", "c", "d"]);
    expect(set.size).toBe(3);
  });

  it("has a member until it expires", () => {
    const set = new ExpiringSet(3);
    set.add("a", 10);
    expect([set.has("a", 9), set.has("a", 10), set.has("a", 9)])
      .toEqual([true, false, false]);
  });
});

import { describe, expect, it } from "vitest";
import { Err, fault, Ok } from "@quetzalcove/core";
import {
  type EntrySubmission,
  markOf,
  RecentSubmissions,
  RefusalCache,
  RefusalCounts,
  REPEAT_HORIZON_MS,
} from "@quetzalcove/core/scheduling";

const REFUSAL = fault("over_quota", "Customer beyond its weight", {
  outcome: "not run",
  retryAfterMs: 1_200,
  repeat: { forMs: 500, exceptMarks: [] },
});
const UNCLEAR = fault("timeout", "No answer", { outcome: "unknown" });

function submission(
  id: string,
  changes: Partial<EntrySubmission> = {},
): EntrySubmission {
  return {
    keyDigest: "digest-1",
    host: "reports.example",
    path: `/reports/${id}`,
    ...changes,
  };
}

/** A cache after the refusal of job "a", which was called at `calledAt` and answered at `answeredAt`. */
function cacheAfterRefusal(calledAt = 0, answeredAt = 10): RefusalCache {
  const cache = new RefusalCache();
  cache.recordCall(submission("a"), calledAt);
  cache.recordAnswer(submission("a"), Err(REFUSAL), calledAt, answeredAt);
  return cache;
}

describe("an entry with a refusal", () => {
  it("refuses the same customer and queue, and nobody else", () => {
    const cache = cacheAfterRefusal();
    const isRefused = (other: EntrySubmission): boolean =>
      cache.find(other, 20) !== undefined;
    expect({
      same: isRefused(submission("b")),
      otherCustomer: isRefused(submission("b", { keyDigest: "digest-2" })),
      anonymous: isRefused(submission("b", { keyDigest: undefined })),
      otherQueue: isRefused(submission("b", { path: "/charts/b" })),
      nestedQueue: isRefused(submission("b", { path: "/reports/large/b" })),
      otherHost: isRefused(submission("b", { host: "charts.example" })),
    }).toEqual({
      same: true,
      otherCustomer: false,
      anonymous: false,
      otherQueue: false,
      nestedQueue: false,
      otherHost: false,
    });
  });

  it("refuses for at most 500 ms after the leader issued the refusal", () => {
    const cache = cacheAfterRefusal(0, 400);
    expect(cache.find(submission("b"), 499)?.kind).toBe("over_quota");
    expect(cache.find(submission("b"), 500)).toBeUndefined();
  });

  // Guards against a paused entry that counts the time from a late answer.
  it("does not repeat a refusal that arrives late", () => {
    const cache = cacheAfterRefusal(0, 600);
    expect(cache.find(submission("b"), 600)).toBeUndefined();
  });

  it("does not repeat a refusal that the leader does not let it repeat", () => {
    const cache = new RefusalCache();
    const { repeat: _, ...once } = REFUSAL;
    cache.recordCall(submission("a"), 0);
    cache.recordAnswer(submission("a"), Err(once), 0, 10);
    expect(cache.find(submission("b"), 20)).toBeUndefined();
  });

  it("spreads the retries", () => {
    const cache = cacheAfterRefusal();
    const retries = Array.from(
      { length: 45 },
      (_, i) => cache.find(submission(`b${i}`), 20)?.retryAfterMs ?? 0,
    );
    expect(retries.slice(0, 4)).toEqual([1_200, 1_300, 1_400, 1_500]);
    expect(Math.max(...retries)).toBeLessThanOrEqual(5_000);
    expect(new Set(retries).size).toBeGreaterThan(35);
  });
});

describe("a repeat of a submission that an entry has passed on", () => {
  // Guards against the answer "not run" for a job that runs.
  it.each([
    ["without a clear answer", Err(UNCLEAR)],
    ["and that was accepted", Ok({})],
  ])("%s is passed on again", (_, answer) => {
    const cache = new RefusalCache();
    cache.recordCall(submission("x"), 0);
    cache.recordAnswer(submission("x"), answer, 0, 10);
    cache.recordCall(submission("a"), 20);
    cache.recordAnswer(submission("a"), Err(REFUSAL), 20, 30);
    expect(cache.find(submission("x"), 40)).toBeUndefined();
    expect(cache.find(submission("b"), 40)?.kind).toBe("over_quota");
  });

  // Guards against the same where the first call, without an answer, was made at another entry.
  it("is passed on by an entry that learns of it from the leader", () => {
    const recent = new RecentSubmissions(-Infinity);
    recent.record("acme", "x", 0);
    const exceptMarks = recent.marks("acme", 5_999);
    const refusal = {
      ...REFUSAL,
      repeat: { forMs: 500, exceptMarks: exceptMarks ?? [] },
    };
    const cache = new RefusalCache();
    cache.recordCall(submission("a"), 5_999);
    cache.recordAnswer(submission("a"), Err(refusal), 5_999, 6_000);
    expect(cache.find(submission("x"), 6_010)).toBeUndefined();
    expect(cache.find(submission("b"), 6_010)?.kind).toBe("over_quota");
  });

  it("is passed on while the first call is in progress", () => {
    const cache = new RefusalCache();
    cache.recordCall(submission("x"), 0);
    cache.recordCall(submission("a"), 0);
    cache.recordAnswer(submission("a"), Err(REFUSAL), 0, 10);
    expect(cache.find(submission("x"), 20)).toBeUndefined();
  });

  // The refusal of a repeat says nothing about the call before it.
  it("is passed on after a refusal of another repeat", () => {
    const cache = new RefusalCache();
    cache.recordCall(submission("x"), 0);
    cache.recordAnswer(submission("x"), Err(UNCLEAR), 0, 10);
    cache.recordCall(submission("x"), 20);
    cache.recordAnswer(submission("x"), Err(REFUSAL), 20, 30);
    expect(cache.find(submission("x"), 40)).toBeUndefined();
  });

  it("may be refused if the first call was refused", () => {
    expect(cacheAfterRefusal().find(submission("a"), 20)?.kind)
      .toBe("over_quota");
  });
});

describe("the submissions that a leader names to entries", () => {
  it("are those that callers may still repeat", () => {
    const recent = new RecentSubmissions(-Infinity);
    recent.record("acme", "old", 0);
    recent.record("acme", "new", 1);
    recent.record("other", "theirs", 1);
    expect(recent.marks("acme", REPEAT_HORIZON_MS)).toEqual([markOf("new")]);
  });

  // Guards against refusals of repeats of jobs that the leader before has accepted.
  it("are unknown at the beginning of a term", () => {
    const recent = new RecentSubmissions(100);
    expect(recent.marks("acme", 100 + REPEAT_HORIZON_MS - 1)).toBeUndefined();
    expect(recent.marks("acme", 100 + REPEAT_HORIZON_MS)).toEqual([]);
  });

  it("are not named if they are too many", () => {
    const recent = new RecentSubmissions(-Infinity);
    for (let i = 0; i < 1_001; i++) {
      recent.record("acme", `j${i}`, 0);
    }
    expect(recent.marks("acme", 0)).toBeUndefined();
  });
});

// Guards against repeats of another entry's unclear calls, whose callers come here after the loss of a leader.
it("a call without a clear answer ends all refusals of an entry", () => {
  const cache = cacheAfterRefusal();
  cache.recordCall(submission("x"), 20);
  cache.recordAnswer(submission("x"), Err(UNCLEAR), 20, 30);
  expect(cache.find(submission("b"), 40)).toBeUndefined();
});

it("an entry that cannot remember all of its submissions refuses none", () => {
  const cache = new RefusalCache();
  for (let i = 0; i < 20_000; i++) {
    cache.recordCall(submission(`old${i}`), 0);
    cache.recordAnswer(submission(`old${i}`), Ok({}), 0, 0);
  }
  cache.recordCall(submission("a"), 0);
  cache.recordAnswer(submission("a"), Err(REFUSAL), 0, 10);
  expect(cache.find(submission("b"), 20)).toBeUndefined();
});

describe("the log of refusals", () => {
  it("has one line for each key and second, with a count", () => {
    const counts = new RefusalCounts<string>();
    const lines: [number, number, string][] = [];
    for (let now = 0; now < 2_500; now += 10) {
      if (now < 1_500) {
        counts.record("customer", `refusal at ${now}`);
      }
      for (const { count, latest } of counts.takeDue(now)) {
        lines.push([now, count, latest]);
      }
    }
    expect(lines).toEqual([
      [0, 1, "refusal at 0"],
      [1_000, 100, "refusal at 1000"],
      [2_000, 49, "refusal at 1490"],
    ]);
  });
});

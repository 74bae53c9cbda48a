import { describe, expect, it } from "vitest";
import { ReadBarriers } from "../src/consensus/read_barriers.ts";

const ELECTION_MS = 800;
const ignore = (): void => {};

/** Barriers with a round that was asked for at 1,000 ms and confirmed. */
function confirmed(): ReadBarriers {
  const barriers = new ReadBarriers(ELECTION_MS);
  const context = barriers.nextContext();
  const askedAt = { monotonic: 1_000, wall: 50_000 };
  barriers.add(context, { requestedAt: askedAt, settle: ignore });
  barriers.confirm(context);
  return barriers;
}

describe("the lease of a confirmed round", () => {
  it("lasts for part of an election timeout", () => {
    const barriers = confirmed();
    expect(barriers.hasLease({ monotonic: 1_399, wall: 50_399 })).toBe(true);
    expect(barriers.hasLease({ monotonic: 1_400, wall: 50_400 })).toBe(false);
  });

  it("does not outlast a suspension, during which the monotonic clock stands still", () => {
    const barriers = confirmed();
    expect(barriers.hasLease({ monotonic: 1_100, wall: 54_100 })).toBe(false);
  });

  it("is given up when the wall clock is set back, since that may hide a suspension", () => {
    const barriers = confirmed();
    expect(barriers.hasLease({ monotonic: 1_100, wall: 48_100 })).toBe(false);
  });
});

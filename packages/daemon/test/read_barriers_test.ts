import { describe, expect, it } from "vitest";
import { ReadBarriers } from "../src/consensus/read_barriers.ts";

const LEASE_MS = 400;
const ignore = (): void => {};

/** Barriers with one confirmed round, whose read was requested at 1,000 ms. */
function confirmedBarriers(): ReadBarriers {
  const barriers = new ReadBarriers(LEASE_MS);
  const context = barriers.nextContext();
  const requestedAt = { monotonic: 1_000, wall: 50_000 };
  barriers.add(context, { requestedAt, settle: ignore });
  barriers.confirm(context);
  return barriers;
}

describe("the leader lease of a confirmed round", () => {
  it("lasts from the request of the read", () => {
    const barriers = confirmedBarriers();
    expect(barriers.hasLease({ monotonic: 1_399, wall: 50_399 })).toBe(true);
    expect(barriers.hasLease({ monotonic: 1_400, wall: 50_400 })).toBe(false);
  });

  it("does not outlast a suspension, during which the monotonic clock stands still", () => {
    const barriers = confirmedBarriers();
    expect(barriers.hasLease({ monotonic: 1_100, wall: 54_100 })).toBe(false);
  });

  it("ends when the wall clock is set back, since that may hide a suspension", () => {
    const barriers = confirmedBarriers();
    expect(barriers.hasLease({ monotonic: 1_100, wall: 48_100 })).toBe(false);
  });
});

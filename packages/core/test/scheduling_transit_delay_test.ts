import { beforeEach, describe, expect, it } from "vitest";
import { TransitDelay } from "../src/scheduling/mod.ts";

/** Difference between the receiver's and the sender's wall clock at the beginning. */
const OFFSET_MS = 7_000;

describe("the transit delay", () => {
  let delay: TransitDelay;
  let offsetMs: number;
  /** How long the receiver was suspended, which its monotonic clock does not count. */
  let suspendedMs: number;

  beforeEach(() => {
    delay = new TransitDelay();
    offsetMs = OFFSET_MS;
    suspendedMs = 0;
  });

  /** Records a message with its send and receive time on the sender's wall clock. */
  function record(sentAt: number, receivedAt: number): number {
    return delay.record(sentAt, {
      monotonic: receivedAt - suspendedMs,
      wall: receivedAt + offsetMs,
    });
  }

  it("is what a message took longer than the fastest one, whatever the offset of the clocks", () => {
    expect([
      record(1_000, 1_003),
      record(1_100, 1_101),
      record(1_200, 3_201),
      record(3_300, 3_302),
    ]).toEqual([0, 0, 2_000, 1]);
  });

  it("shows for each message that waited while the receiver was suspended", () => {
    record(0, 0);
    suspendedMs = 8_000;
    const delays = [100, 4_000, 7_900].map((sentAt) => record(sentAt, 8_100));
    expect(delays).toEqual([8_000, 4_100, 200]);
  });

  it("is learned anew some seconds after the receiver's clock was set forward", () => {
    record(0, 0);
    offsetMs += 9_000;
    expect(record(1_000, 1_000)).toBe(9_000);
    expect(record(6_000, 6_000)).toBe(0);
  });

  it("is learned at once after the receiver's clock was set back", () => {
    record(0, 0);
    offsetMs -= 9_000;
    expect(record(1_000, 1_000)).toBe(0);
    expect(record(1_100, 1_105)).toBe(5);
  });
});

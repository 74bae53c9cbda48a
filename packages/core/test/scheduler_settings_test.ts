import { describe, expect, it } from "vitest";
import {
  checkSchedulerSettings,
  type SchedulerSettings,
} from "@quetzalcove/core/scheduling";

function settingsWith(changes: Record<string, unknown>): SchedulerSettings {
  return checkSchedulerSettings({
    cluster: "c1",
    node: "n1",
    host: "127.0.0.1",
    zone: "zone-a",
    listen: { link: "127.0.0.1:7060", metrics: "127.0.0.1:9464" },
    seeds: ["127.0.0.1:8600"],
    ...changes,
  }, "settings").unwrap();
}

// Each guards against a time-out of this program that stays as it is when the platform's bound is tighter.
describe("a bound of the platform", () => {
  it("limits the lease of workers", () => {
    const { workers } = settingsWith({ workers: { maxLeaseMs: 2_500 } });
    expect(workers.leaseMs).toBe(2_500);
  });

  it("limits the silence after which a voter is replaced", () => {
    const lostAfterMs = [2, 4, 6.5].map((catchUpSeconds) =>
      settingsWith({ raft: { catchUpSeconds } }).raft.lostAfterMs
    );
    expect(lostAfterMs).toEqual([500, 1_000, 1_000]);
  });

  it("extends the retention of outcomes", () => {
    const retentionMs = [10, 120, 300.5].map((statusSeconds) =>
      settingsWith({ statusSeconds }).retentionMs
    );
    expect(retentionMs).toEqual([180_000, 180_000, 450_750]);
  });
});

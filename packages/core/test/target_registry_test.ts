import { describe, expect, it } from "vitest";
import { Announcement, TargetRegistry } from "../src/mod.ts";

const SETTINGS = { announceEveryMs: 1_000, expireMs: 3_000, maxPerSecond: 20 };

function announcement(
  number: number,
  changes: Partial<Announcement> = {},
): Announcement {
  return Announcement.parse({
    target: `vm-${number}/intake`,
    vm: `vm-${number}`,
    service: "intake",
    address: "127.0.0.1:9000",
    incarnation: 1,
    sequence: 0,
    ...changes,
  });
}

describe("the registry of targets", () => {
  it("removes a target after its announcements expired", () => {
    const registry = new TargetRegistry(SETTINGS);
    registry.announce(announcement(1), 0);
    expect(registry.expire(2_999)).toEqual([]);
    registry.announce(announcement(1), 2_999);
    expect(registry.expire(5_998)).toEqual([]);
    expect(registry.expire(5_999)).toEqual(["vm-1/intake"]);
  });

  it("scales the announcement interval and the expiry alike with the number of targets", () => {
    const registry = new TargetRegistry(SETTINGS);
    for (let number = 0; number < 100; number++) {
      registry.announce(announcement(number), 0);
    }
    expect(registry.announceEveryMs).toBe(5_000);
    registry.announce(announcement(0), 0);
    expect(registry.expire(14_999)).not.toContain("vm-0/intake");
    expect(registry.expire(15_000)).toContain("vm-0/intake");
  });

  it("ignores an announcement that is older than the known one", () => {
    const registry = new TargetRegistry(SETTINGS);
    registry.announce(
      announcement(1, { condition: "leaving", sequence: 1 }),
      0,
    );
    expect(registry.announce(announcement(1), 1)).toBe(false);
    expect(registry.get("vm-1/intake")?.condition).toBe("leaving");
    expect(registry.announce(announcement(1, { incarnation: 2 }), 2)).toBe(
      true,
    );
  });
});

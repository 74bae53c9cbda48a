import { describe, expect, it } from "vitest";
import { Announcement, Registry } from "../src/mod.ts";

const TERMS = { announceEveryMs: 1_000, expireMs: 3_000, maxPerSecond: 20 };

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

describe("a registry of targets", () => {
  it("forgets a target that missed its announcements", () => {
    const registry = new Registry(TERMS);
    registry.announce(announcement(1), 0);
    expect(registry.expire(2_999)).toEqual([]);
    registry.announce(announcement(1), 2_999);
    expect(registry.expire(5_998)).toEqual([]);
    expect(registry.expire(5_999)).toEqual(["vm-1/intake"]);
  });

  it("lengthens interval and patience alike when many targets announce themselves", () => {
    const registry = new Registry(TERMS);
    for (let number = 0; number < 100; number++) {
      registry.announce(announcement(number), 0);
    }
    expect(registry.announceEveryMs).toBe(5_000);
    registry.announce(announcement(0), 0);
    expect(registry.expire(14_999)).not.toContain("vm-0/intake");
    expect(registry.expire(15_000)).toContain("vm-0/intake");
  });

  it("ignores an announcement that is older than what it knows", () => {
    const registry = new Registry(TERMS);
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

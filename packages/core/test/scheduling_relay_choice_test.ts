import { describe, expect, it } from "vitest";
import {
  areRelaysWorthwhile,
  chooseRelay,
  type RelayCandidate,
  usableRelays,
} from "../src/scheduling/mod.ts";

function candidate(
  host: string,
  changes: Partial<RelayCandidate> = {},
): RelayCandidate {
  return {
    host,
    zone: `zone-${host}`,
    caughtUp: true,
    isConnected: true,
    silentMs: 0,
    ...changes,
  };
}

function workers(count: number, zone: string): { id: string; zone: string }[] {
  return Array.from({ length: count }, (_, i) => ({ id: `w-${i}`, zone }));
}

describe("relays", () => {
  it("are used from a number of workers on, until there are half as many", () => {
    expect(areRelaysWorthwhile(63, 64, false)).toBe(false);
    expect(areRelaysWorthwhile(64, 64, false)).toBe(true);
    expect(areRelaysWorthwhile(32, 64, true)).toBe(true);
    expect(areRelaysWorthwhile(31, 64, true)).toBe(false);
  });
});

describe("usable relays", () => {
  it("are caught up, connected and answer the leader", () => {
    const candidates = [
      candidate("a"),
      candidate("b", { caughtUp: false }),
      candidate("c", { isConnected: false }),
      candidate("d", { silentMs: 1_001 }),
      candidate("e", { silentMs: 1_000 }),
    ];
    expect(usableRelays(candidates, []).map(({ host }) => host)).toEqual([
      "a",
      "e",
    ]);
  });

  it("stay in use when they fall behind for a while", () => {
    const behind = candidate("b", { caughtUp: false });
    expect(usableRelays([behind], ["b"])).toEqual([behind]);
  });
});

describe("the relay of a worker", () => {
  const relays = ["a", "b", "c", "d"].map((host) => candidate(host));

  it("is in its zone if there is one", () => {
    for (const worker of workers(20, "zone-c")) {
      expect(chooseRelay(worker, relays)).toBe("c");
    }
  });

  it("is undefined without relays", () => {
    expect(chooseRelay({ id: "w", zone: "zone-a" }, [])).toBeUndefined();
  });

  it("is spread evenly over the relays if none is in its zone", () => {
    const counts = new Map<string, number>();
    for (const worker of workers(400, "elsewhere")) {
      const host = chooseRelay(worker, relays) ?? "";
      counts.set(host, (counts.get(host) ?? 0) + 1);
    }
    expect(counts.size).toBe(4);
    expect(Math.min(...counts.values())).toBeGreaterThan(70);
  });

  it("changes only for the workers of a relay that is lost", () => {
    const left = relays.filter(({ host }) => host !== "b");
    for (const worker of workers(200, "elsewhere")) {
      const before = chooseRelay(worker, relays);
      const after = chooseRelay(worker, left);
      expect(after === before || before === "b").toBe(true);
    }
  });
});

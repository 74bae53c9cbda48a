import { describe, expect, it } from "vitest";
import { formatLedgerKey } from "../src/entry/request.ts";

describe("a ledger key", () => {
  it("differs for every pair of caller and idempotency key", () => {
    expect(formatLedgerKey("a", "b/c")).not.toBe(formatLedgerKey("a/b", "c"));
    expect(formatLedgerKey("a", "%2F")).not.toBe(formatLedgerKey("a", "/"));
  });

  it("is readable", () => {
    expect(formatLedgerKey("team-1", "report-2026")).toBe("team-1/report-2026");
  });
});

import { describe, expect, it } from "vitest";
import { ledgerKeyOf } from "../src/entry/request.ts";

describe("the key of the ledger", () => {
  it("is another one for every pair of caller and key", () => {
    expect(ledgerKeyOf("a", "b/c")).not.toBe(ledgerKeyOf("a/b", "c"));
    expect(ledgerKeyOf("a", "%2F")).not.toBe(ledgerKeyOf("a", "/"));
  });

  it("stays readable", () => {
    expect(ledgerKeyOf("team-1", "report-2026")).toBe("team-1/report-2026");
  });
});

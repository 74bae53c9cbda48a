import { describe, expect, it } from "vitest";
import { linearizabilityViolation, type Operation } from "./harness/history.ts";

function change(
  base: number,
  span: [number, number],
  version?: number,
): Operation {
  return {
    operator: "a",
    kind: "change",
    base,
    version,
    startedAt: span[0],
    endedAt: span[1],
  };
}

function read(version: number, span: [number, number]): Operation {
  return {
    operator: "b",
    kind: "read",
    version,
    startedAt: span[0],
    endedAt: span[1],
  };
}

describe("the linearizability check", () => {
  it.each<[string, Operation[]]>([
    ["overlapping changes", [change(0, [0, 9], 1), change(1, [1, 5], 2)]],
    ["a change whose answer was lost", [
      change(0, [0, 1]),
      change(1, [2, 3], 2),
    ]],
    ["a read of the old version while the change is pending", [
      change(0, [0, 9], 1),
      read(1, [1, 2]),
      read(0, [1, 3]),
    ]],
  ])("accepts %s", (_name, history) => {
    expect(linearizabilityViolation(history, 0)).toBeUndefined();
  });

  it.each<[string, Operation[]]>([
    ["a version that was accepted twice", [
      change(0, [0, 1], 1),
      change(0, [2, 3], 1),
    ]],
    ["a version without a change", [
      change(0, [0, 1], 1),
      change(2, [2, 3], 3),
    ]],
    ["a read of an old version after a change was answered", [
      change(0, [0, 1], 1),
      read(0, [2, 3]),
    ]],
    ["reads whose version decreases", [
      change(0, [0, 9], 1),
      read(1, [1, 2]),
      read(0, [3, 4]),
    ]],
    ["changes in an order that contradicts their intervals", [
      change(1, [0, 1], 2),
      change(0, [2, 3], 1),
    ]],
  ])("rejects %s", (_name, history) => {
    expect(linearizabilityViolation(history, 0)).toBeDefined();
  });
});

/**
 * Differences between two configurations, for `apply --dry-run`.
 *
 * @module
 */
import type { Inventory, Rules } from "@quetzalcove/core";
import { compareNames } from "./format.ts";

/** One difference; `before` is absent for an addition, `after` for a removal. */
export interface Difference {
  path: string;
  before?: unknown;
  after?: unknown;
}

interface Configuration {
  inventory: Inventory;
  rules: Rules;
}

/** Lists the differences; list items with a name are matched by it. */
export function difference(
  before: Configuration,
  after: Configuration,
): Difference[] {
  const differences: Difference[] = [];
  compare(
    "inventory",
    { before: before.inventory, after: after.inventory },
    differences,
  );
  compare("rules", { before: before.rules, after: after.rules }, differences);
  return differences;
}

/** Formats a difference as one line. */
export function describeDifference(change: Difference): string {
  if (change.before === undefined) {
    return `  + ${change.path}: ${JSON.stringify(change.after)}\n`;
  }
  if (change.after === undefined) {
    return `  - ${change.path}\n`;
  }
  return `  ~ ${change.path}: ${JSON.stringify(change.before)} -> ${
    JSON.stringify(change.after)
  }\n`;
}

interface Pair {
  before: unknown;
  after: unknown;
}

function compare(path: string, pair: Pair, differences: Difference[]): void {
  const before = membersOf(pair.before);
  const after = membersOf(pair.after);
  if (before === undefined || after === undefined) {
    if (JSON.stringify(pair.before) !== JSON.stringify(pair.after)) {
      differences.push({ path, ...pair });
    }
    return;
  }
  const keys = [...new Set([...before.keys(), ...after.keys()])].sort(
    compareNames,
  );
  for (const key of keys) {
    const inner = { before: before.get(key), after: after.get(key) };
    compare(`${path}.${key}`, inner, differences);
  }
}

/** The properties of an object, or the items of a list by name; undefined for other values. */
function membersOf(value: unknown): Map<string, unknown> | undefined {
  if (typeof value !== "object" || value === null) {
    return undefined;
  }
  if (!Array.isArray(value)) {
    return new Map(Object.entries(value));
  }
  return value.every(hasName)
    ? new Map(value.map((item) => [item.name, item]))
    : undefined;
}

function hasName(item: unknown): item is { name: string } {
  return typeof item === "object" && item !== null && "name" in item &&
    typeof item.name === "string";
}

/**
 * What differs between two configurations, for a dry run.
 *
 * @module
 */
import type { Inventory, Rules } from "@quetzalcove/core";
import { compareNames } from "./format.ts";

/** One difference; `before` or `after` is absent when the thing is new or gone. */
export interface Difference {
  path: string;
  before?: unknown;
  after?: unknown;
}

interface Configuration {
  inventory: Inventory;
  rules: Rules;
}

/** Lists what differs, named objects by their name. */
export function difference(
  before: Configuration,
  after: Configuration,
): Difference[] {
  const found: Difference[] = [];
  compare(
    "inventory",
    { before: before.inventory, after: after.inventory },
    found,
  );
  compare("rules", { before: before.rules, after: after.rules }, found);
  return found;
}

/** Writes a difference as one line. */
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

function compare(path: string, pair: Pair, found: Difference[]): void {
  const before = membersOf(pair.before);
  const after = membersOf(pair.after);
  if (before === undefined || after === undefined) {
    if (JSON.stringify(pair.before) !== JSON.stringify(pair.after)) {
      found.push({ path, ...pair });
    }
    return;
  }
  const keys = [...new Set([...before.keys(), ...after.keys()])].sort(
    compareNames,
  );
  for (const key of keys) {
    const inner = { before: before.get(key), after: after.get(key) };
    compare(`${path}.${key}`, inner, found);
  }
}

/** The members of an object, or of a list whose items have names. */
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
